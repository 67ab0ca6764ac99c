package org.oriolewind.config;

import java.math.BigDecimal;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.regex.Pattern;

/**
 * Checks a complete release note against the current configuration and applies it to a draft. All
 * faults are collected and reported together. Not thread-safe; each instance is used for one note.
 */
public final class NoteApplier {
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,99}");
    private static final BigDecimal WHOLE_PERCENT = BigDecimal.valueOf(100);

    private final ReleaseNote mNote;
    private final ConfigEntries mDraft;
    private final Instant mNow;
    private final List<NoteFault> mFaults = new ArrayList<>();

    private NoteApplier(ReleaseNote note, ConfigEntries draft, Instant now) {
        mNote = note;
        mDraft = draft;
        mNow = now;
    }

    /**
     * Applies a note to a draft.
     *
     * @param draft the current configuration's entries, changed by this call
     * @throws NoteException with all faults, if there are any; the draft must then be discarded
     */
    public static void apply(ReleaseNote note, ConfigEntries draft, Instant now)
            throws NoteException {
        NoteApplier applier = new NoteApplier(note, draft, now);
        applier.applyAll();
        if (!applier.mFaults.isEmpty()) {
            throw new NoteException(applier.mFaults);
        }
    }

    private void applyAll() {
        checkName("id", mNote.id());
        applyServices();
        applyVersions();
        applyRoutes();
        applyMoves();
        withdrawVersions();
        withdrawServices();
        if (isEmpty()) {
            fault("note", "changes nothing");
        }
    }

    private boolean isEmpty() {
        return mNote.equals(new ReleaseNote(mNote.id(), null, null, null, null));
    }

    private void applyServices() {
        List<ReleaseNote.ServiceSpec> added = mNote.services().added();
        for (int i = 0; i < added.size(); i++) {
            String location = "services.added[" + i + "]";
            if (mDraft.services().containsKey(added.get(i).name())) {
                fault(location + ".name", added.get(i).name() + " exists already");
            }
            putService(location, added.get(i));
        }
        List<ReleaseNote.ServiceSpec> changed = mNote.services().changed();
        for (int i = 0; i < changed.size(); i++) {
            String location = "services.changed[" + i + "]";
            ReleaseNote.ServiceSpec spec = changed.get(i);
            if (!mDraft.services().containsKey(spec.name())) {
                fault(location + ".name", "unknown service " + spec.name());
            }
            supersedeMove(spec.name());
            putService(location, spec);
        }
    }

    private void putService(String location, ReleaseNote.ServiceSpec spec) {
        if (!checkName(location + ".name", spec.name())) {
            return;
        }
        BigDecimal sum = BigDecimal.ZERO;
        TreeMap<String, Integer> sharesBps = new TreeMap<>();
        ServiceConfig old = mDraft.services().get(spec.name());
        if (old != null) {
            old.sharesBps().keySet().forEach(version -> sharesBps.put(version, 0));
        }
        for (Map.Entry<String, BigDecimal> share : spec.shares().entrySet()) {
            String shareLocation = location + ".shares." + share.getKey();
            if (checkName(shareLocation, share.getKey())
                    && checkShare(shareLocation, share.getValue())) {
                sum = sum.add(share.getValue());
                sharesBps.put(share.getKey(), BasisPoints.fromPercent(share.getValue()));
            }
        }
        if (sum.compareTo(WHOLE_PERCENT) != 0) {
            fault(location + ".shares", "add up to " + sum.toPlainString() + ", not to 100");
            return;
        }
        mDraft.services().put(spec.name(), new ServiceConfig(spec.name(), sharesBps));
    }

    private void applyVersions() {
        List<ReleaseNote.VersionName> added = mNote.versions().added();
        for (int i = 0; i < added.size(); i++) {
            String location = "versions.added[" + i + "]";
            ReleaseNote.VersionName name = added.get(i);
            Optional<ServiceConfig> service = findService(location + ".service", name.service());
            if (!checkName(location + ".version", name.version()) || service.isEmpty()) {
                continue;
            }
            if (service.get().sharesBps().containsKey(name.version())) {
                fault(location + ".version", name.version() + " exists already");
                continue;
            }
            mDraft.services().put(name.service(), service.get().withShare(name.version(), 0));
        }
    }

    private void withdrawVersions() {
        List<ReleaseNote.VersionName> withdrawn = mNote.versions().withdrawn();
        for (int i = 0; i < withdrawn.size(); i++) {
            String location = "versions.withdrawn[" + i + "]";
            ReleaseNote.VersionName name = withdrawn.get(i);
            Optional<ServiceConfig> service = findService(location + ".service", name.service());
            if (service.isEmpty() || !checkVersion(location, service.get(), name.version())) {
                continue;
            }
            if (service.get().sharesBps().get(name.version()) > 0 || isMoving(name)) {
                fault(location, name.version() + " still carries traffic or is part of a move");
                continue;
            }
            mDraft.services().put(name.service(), service.get().without(name.version()));
        }
    }

    private boolean isMoving(ReleaseNote.VersionName name) {
        return activeMove(name.service())
                .filter(m -> m.from().equals(name.version()) || m.to().equals(name.version()))
                .isPresent();
    }

    private void applyRoutes() {
        List<RouteConfig> added = mNote.routes().added();
        for (int i = 0; i < added.size(); i++) {
            String location = "routes.added[" + i + "]";
            if (mDraft.routes().containsKey(String.valueOf(added.get(i).name()))) {
                fault(location + ".name", added.get(i).name() + " exists already");
            }
            putRoute(location, added.get(i));
        }
        List<RouteConfig> changed = mNote.routes().changed();
        for (int i = 0; i < changed.size(); i++) {
            String location = "routes.changed[" + i + "]";
            checkRouteExists(location + ".name", changed.get(i).name());
            putRoute(location, changed.get(i));
        }
        List<String> withdrawn = mNote.routes().withdrawn();
        for (int i = 0; i < withdrawn.size(); i++) {
            checkRouteExists("routes.withdrawn[" + i + "]", withdrawn.get(i));
            mDraft.routes().remove(withdrawn.get(i));
        }
    }

    private void checkRouteExists(String location, String name) {
        if (!mDraft.routes().containsKey(String.valueOf(name))) {
            fault(location, "unknown route " + name);
        }
    }

    private void putRoute(String location, RouteConfig route) {
        if (!checkName(location + ".name", route.name())) {
            return;
        }
        findService(location + ".service", route.service());
        if (route.path() == null || !route.path().startsWith("/")) {
            fault(location + ".path", "must start with a slash");
            return;
        }
        for (RouteConfig other : mDraft.routes().values()) {
            if (other.path().equals(route.path()) && !other.name().equals(route.name())) {
                fault(location + ".path", "is taken by route " + other.name());
            }
        }
        mDraft.routes().put(route.name(), route);
    }

    private void applyMoves() {
        Set<String> seen = new HashSet<>();
        for (int i = 0; i < mNote.moves().size(); i++) {
            ReleaseNote.PlannedMove planned = mNote.moves().get(i);
            String location = "moves[" + i + "]";
            if (planned.service() != null && !seen.add(planned.service())) {
                fault(location + ".service", "a note may move a service only once");
                continue;
            }
            applyMove(location, i, planned);
        }
    }

    private void applyMove(String location, int index, ReleaseNote.PlannedMove planned) {
        Optional<ServiceConfig> found = findService(location + ".service", planned.service());
        boolean valid = checkShare(location + ".share", planned.share());
        if (planned.by() == null) {
            fault(location + ".by", "is missing");
        } else if (!planned.by().isAfter(mNow)) {
            fault(location + ".by", planned.by() + " is past; it is " + mNow + " now");
        }
        if (found.isEmpty()
                || !checkVersion(location + ".from", found.get(), planned.from())
                || !checkVersion(location + ".to", found.get(), planned.to())
                || !valid) {
            return;
        }
        if (planned.from().equals(planned.to())) {
            fault(location + ".to", "is the same version as from");
            return;
        }
        supersedeMove(planned.service());
        ServiceConfig service = mDraft.services().get(planned.service());
        int fromBps = service.sharesBps().get(planned.from());
        int toBps = service.sharesBps().get(planned.to());
        int targetBps = BasisPoints.fromPercent(planned.share());
        if (targetBps <= toBps || targetBps > fromBps + toBps) {
            fault(
                    location + ".share",
                    String.format(
                            "must be over the present %s and at most %s, the sum of both versions",
                            BasisPoints.toText(toBps), BasisPoints.toText(fromBps + toBps)));
            return;
        }
        Move move = Move.planned(mNote.id(), index, planned, toBps, mNow);
        mDraft.moves().put(move.id(), move);
    }

    private Optional<Move> activeMove(String service) {
        return mDraft.moves().values().stream()
                .filter(move -> move.phase().isActive() && move.service().equals(service))
                .findFirst();
    }

    private void supersedeMove(String service) {
        Optional<Move> active = activeMove(service);
        if (active.isEmpty()) {
            return;
        }
        Move ended = active.get().end(MovePhase.SUPERSEDED, active.get().evidence(), mNow);
        mDraft.services().computeIfPresent(service, (name, old) -> old.with(ended, mNow));
        mDraft.moves().put(ended.id(), ended);
    }

    private void withdrawServices() {
        List<String> withdrawn = mNote.services().withdrawn();
        for (int i = 0; i < withdrawn.size(); i++) {
            String location = "services.withdrawn[" + i + "]";
            String name = withdrawn.get(i);
            if (findService(location, name).isEmpty()) {
                continue;
            }
            for (RouteConfig route : mDraft.routes().values()) {
                if (route.service().equals(name)) {
                    fault(location, "route " + route.name() + " still needs " + name);
                }
            }
            supersedeMove(name);
            mDraft.services().remove(name);
        }
    }

    private Optional<ServiceConfig> findService(String location, String name) {
        if (name == null) {
            fault(location, "is missing");
            return Optional.empty();
        }
        ServiceConfig service = mDraft.services().get(name);
        if (service == null) {
            fault(location, "unknown service " + name);
        }
        return Optional.ofNullable(service);
    }

    private boolean checkVersion(String location, ServiceConfig service, String version) {
        if (version == null) {
            fault(location, "is missing");
            return false;
        }
        if (!service.sharesBps().containsKey(version)) {
            fault(location, "unknown version " + version + " of service " + service.name());
            return false;
        }
        return true;
    }

    private boolean checkShare(String location, BigDecimal percent) {
        if (percent == null) {
            fault(location, "is missing");
            return false;
        }
        if (percent.signum() < 0) {
            fault(location, percent.toPlainString() + " is under 0");
            return false;
        }
        if (percent.compareTo(WHOLE_PERCENT) > 0) {
            fault(location, percent.toPlainString() + " is over 100");
            return false;
        }
        if (percent.stripTrailingZeros().scale() > 2) {
            fault(location, percent.toPlainString() + " has more than two decimals");
            return false;
        }
        return true;
    }

    private boolean checkName(String location, String name) {
        if (name == null) {
            fault(location, "is missing");
            return false;
        }
        if (!NAME.matcher(name).matches()) {
            fault(location, "must be 1 to 100 letters, digits, dots, dashes or underscores");
            return false;
        }
        return true;
    }

    private void fault(String location, String problem) {
        mFaults.add(new NoteFault(location, problem));
    }
}
