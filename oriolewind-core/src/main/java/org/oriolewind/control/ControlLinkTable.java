package org.oriolewind.control;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.oriolewind.wire.LinkPurpose;

/** The open control links of a node, by link number. Confined to the control thread. */
final class ControlLinkTable {
    private final Map<Long, ControlLink> mLinks = new LinkedHashMap<>();

    void add(ControlLink link) {
        mLinks.put(link.mId, link);
    }

    Optional<ControlLink> remove(long id) {
        return Optional.ofNullable(mLinks.remove(id));
    }

    Optional<ControlLink> find(long id) {
        return Optional.ofNullable(mLinks.get(id));
    }

    List<ControlLink> all() {
        return new ArrayList<>(mLinks.values());
    }

    List<ControlLink> children() {
        return mLinks.values().stream()
                .filter(link -> link.mPurpose == LinkPurpose.LINK_PURPOSE_CHILD && !link.mDialed)
                .toList();
    }

    List<ControlLink> bridges() {
        return mLinks.values().stream()
                .filter(link -> link.mPurpose == LinkPurpose.LINK_PURPOSE_BRIDGE)
                .toList();
    }
}
