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
 * The platform's object with the members of one data centre, written by its lead. Immutable.
 *
 * @param lead the lead's node name
 * @param leadAddress the lead's peer address
 * @param term the lead's term
 * @param members the members, those that are down left out
 */
public record MembersObject(String lead, String leadAddress, long term, List<Member> members) {
    /** Start of the names of these objects; the data centre's name follows. */
    public static final String PREFIX = "mesh/members/";

    /** Copies the list. */
    public MembersObject {
        members = List.copyOf(members);
    }

    /**
     * Writes the stored form.
     *
     * @return JSON in UTF-8
     */
    public byte[] encode() {
        ObjectNode root = JsonFormat.mapper().createObjectNode();
        root.put("lead", lead).put("leadAddress", leadAddress).put("term", term);
        ArrayNode array = root.putArray("members");
        members.forEach(member -> encodeMember(member, array.addObject()));
        try {
            return JsonFormat.mapper().writeValueAsBytes(root);
        } catch (IOException e) {
            throw new IllegalStateException("a JSON tree can be written", e);
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
     * Reads the stored form.
     *
     * @param json JSON in UTF-8
     * @param peer the platform's address, for the error
     * @return the object
     * @throws ConfigException if the content can't be read
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
            throw new ConfigException(peer, "members object can't be read", e);
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
     * @param dataCentre the data centre's name
     * @return the members to store
     */
    public static List<Member> liveIn(Collection<Member> all, String dataCentre) {
        return all.stream()
                .filter(member -> member.getDataCentre().equals(dataCentre))
                .filter(member -> member.getState() != MemberState.MEMBER_STATE_DOWN)
                .toList();
    }
}
