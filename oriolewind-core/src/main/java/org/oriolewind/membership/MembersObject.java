package org.oriolewind.membership;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.oriolewind.config.ConfigException;
import org.oriolewind.config.JsonFormat;
import org.oriolewind.wire.Member;
import org.oriolewind.wire.MemberState;

/**
 * The stored object with the members of one data centre, written by that data centre's leader.
 * Immutable. Its JSON keys are part of the stored format.
 *
 * @param leader node name of the leader that wrote the object
 * @param leaderAddress peer address of the leader, as {@code host:port}
 * @param term term of the leader's lease, the fencing token of the write
 * @param members the members, except for those that are down
 */
public record MembersObject(String leader, String leaderAddress, long term, List<Member> members) {
    /** Prefix of the keys of these objects; the data centre's name follows. */
    public static final String PREFIX = "mesh/members/";

    /** Copies the members, so that later changes to the given list have no effect. */
    public MembersObject {
        members = List.copyOf(members);
    }

    /**
     * Encodes the stored form.
     *
     * @return JSON in UTF-8
     */
    public byte[] encode() {
        ObjectNode root = JsonFormat.mapper().createObjectNode();
        root.put("lead", leader).put("leadAddress", leaderAddress).put("term", term);
        ArrayNode array = root.putArray("members");
        members.forEach(member -> encodeMember(member, array.addObject()));
        try {
            return JsonFormat.mapper().writeValueAsBytes(root);
        } catch (IOException e) {
            throw new IllegalStateException("members object cannot be encoded as JSON", e);
        }
    }

    private static void encodeMember(Member member, ObjectNode node) {
        node.put("node", member.getNode())
                .put("incarnation", member.getIncarnation())
                .put("sequence", member.getSequence())
                .put("state", member.getState().name().substring("MEMBER_STATE_".length()))
                .put("dataCentre", member.getDataCentre())
                .put("service", member.getService())
                .put("version", member.getServiceVersion())
                .put("peer", member.getPeerAddress())
                .put("caller", member.getCallerAddress());
    }

    /**
     * Decodes the stored form.
     *
     * @param json JSON in UTF-8
     * @param peer name of the store, for the error message
     * @return the decoded object
     * @throws ConfigException if the content is not valid JSON, lacks a key or has an unknown state
     */
    public static MembersObject decode(byte[] json, String peer) throws ConfigException {
        try {
            JsonNode root = JsonFormat.mapper().readTree(json);
            List<Member> members = new ArrayList<>();
            for (JsonNode node : root.required("members")) {
                members.add(decodeMember(node));
            }
            return new MembersObject(
                    root.required("lead").asText(),
                    root.required("leadAddress").asText(),
                    root.required("term").asLong(),
                    members);
        } catch (IOException | IllegalArgumentException e) {
            throw new ConfigException(peer, "members object cannot be decoded", e);
        }
    }

    private static Member decodeMember(JsonNode node) {
        return Member.newBuilder()
                .setNode(node.required("node").asText())
                .setIncarnation(node.required("incarnation").asLong())
                .setSequence(node.required("sequence").asLong())
                .setState(MemberState.valueOf("MEMBER_STATE_" + node.required("state").asText()))
                .setDataCentre(node.required("dataCentre").asText())
                .setService(node.required("service").asText())
                .setServiceVersion(node.required("version").asText())
                .setPeerAddress(node.required("peer").asText())
                .setCallerAddress(node.required("caller").asText())
                .build();
    }

    /**
     * Returns the members of one data centre that are not down.
     *
     * @param all members of any data centre
     * @param dataCentre name of the data centre to select
     * @return the members to store, in the order given
     */
    public static List<Member> liveIn(Collection<Member> all, String dataCentre) {
        return all.stream()
                .filter(member -> member.getDataCentre().equals(dataCentre))
                .filter(member -> member.getState() != MemberState.MEMBER_STATE_DOWN)
                .toList();
    }
}
