package org.oriolewind.control;

import java.util.List;

/**
 * The state of a node's control plane, as shown to operators. Immutable. Its JSON form has a key
 * for each component.
 *
 * @param node the node's name
 * @param incarnation number of this run of the node, greater than that of any earlier run
 * @param dataCentre name of the node's data centre
 * @param state the node's member state, without the prefix of the wire's enum
 * @param configVersion current configuration version, 0 if there is none
 * @param lead whether this node holds the data centre's lease
 * @param rollout whether this node holds the rollout lease, and so decides the moves
 * @param path names of the nodes from the root of the control tree to this node, both included;
 *     empty while the node has no position in the tree
 * @param children number of children in the control tree
 * @param members number of entries in the member table, members that are down included
 */
public record ControlStatus(
        String node,
        long incarnation,
        String dataCentre,
        String state,
        long configVersion,
        boolean lead,
        boolean rollout,
        List<String> path,
        int children,
        int members) {}
