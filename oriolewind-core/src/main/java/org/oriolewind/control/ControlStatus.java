package org.oriolewind.control;

import java.util.List;

/**
 * A picture of the control side for operators. Immutable.
 *
 * @param node the node's name
 * @param incarnation the node's incarnation
 * @param dataCentre the data centre's name
 * @param state the node's member state
 * @param configVersion the configuration version in force, 0 if none
 * @param lead whether this node holds the data centre's lease
 * @param rollout whether this node holds the rollout lease
 * @param path nodes from the root of the control tree to this node
 * @param children number of children in the control tree
 * @param members number of members known, those that are down included
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
