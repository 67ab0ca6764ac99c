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
 * Checks a release note whole against the current configuration and applies it to a draft. All
 * faults are collected before any is reported. Not safe for use by several threads; use one
 * instance a note.
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
     * @param note the note
     * @param draft the current configuration's entries, changed by this call
     * @param now the present
     * @throws NoteException with all faults, if there is any; the draft is of no use then
     */
    public static void apply(ReleaseNote note, ConfigEntries draft, Instant now)
            throws NoteException {
        NoteApplier compiler = new NoteApplier(note, draft, now);
        compiler.applyAll();
        if (!compiler.mFaults.isEmpty()) {
            throw new NoteException(compiler.mFaults);
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
            String place = "services.added[" + i + "]";
            if (mDraft.services().containsKey(added.get(i).name())) {
                fault(place + ".name", added.get(i).name() + " exists already");
            }
            putService(place, added.get(i));
        }
        List<ReleaseNote.ServiceSpec> changed = mNote.services().changed();
        for (int i = 0; i < changed.size(); i++) {
            String place = "services.changed[" + i + "]";
            ReleaseNote.ServiceSpec spec = changed.get(i);
            if (!mDraft.services().containsKey(spec.name())) {
                fault(place + ".name", "unknown service " + spec.name());
            }
            supersedeMove(spec.name());
            putService(place, spec);
        }
    }

    private void putService(String place, ReleaseNote.ServiceSpec spec) {
        if (!checkName(place + ".name", spec.name())) {
            return;
        }
        BigDecimal sum = BigDecimal.ZERO;
        TreeMap<String, Integer> sharesBps = new TreeMap<>();
        ServiceConfig old = mDraft.services().get(spec.name());
        if (old != null) {
            old.sharesBps().keySet().forEach(version -> sharesBps.put(version, 0));
        }
        for (Map.Entry<String, BigDecimal> share : spec.shares().entrySet()) {
            String sharePlace = place + ".shares." + share.getKey();
            if (checkName(sharePlace, share.getKey()) && checkShare(sharePlace, share.getValue())) {
                sum = sum.add(share.getValue());
                sharesBps.put(share.getKey(), BasisPoints.fromPercent(share.getValue()));
            }
        }
        if (sum.compareTo(WHOLE_PERCENT) != 0) {
            fault(place + ".shares", "add up to " + sum.toPlainString() + ", not to 100");
            return;
        }
        mDraft.services().put(spec.name(), new ServiceConfig(spec.name(), sharesBps));
    }

    private void applyVersions() {
        List<ReleaseNote.VersionName> added = mNote.versions().added();
        for (int i = 0; i < added.size(); i++) {
            String place = "versions.added[" + i + "]";
            ReleaseNote.VersionName name = added.get(i);
            Optional<ServiceConfig> service = findService(place + ".service", name.service());
            if (!checkName(place + ".version", name.version()) || service.isEmpty()) {
                continue;
            }
            if (service.get().sharesBps().containsKey(name.version())) {
                fault(place + ".version", name.version() + " exists already");
                continue;
            }
            mDraft.services().put(name.service(), service.get().withShare(name.version(), 0));
        }
    }

    private void withdrawVersions() {
        List<ReleaseNote.VersionName> withdrawn = mNote.versions().withdrawn();
        for (int i = 0; i < withdrawn.size(); i++) {
            String place = "versions.withdrawn[" + i + "]";
            ReleaseNote.VersionName name = withdrawn.get(i);
            Optional<ServiceConfig> service = findService(place + ".service", name.service());
            if (service.isEmpty() || !checkVersion(place, service.get(), name.version())) {
                continue;
            }
            if (service.get().sharesBps().get(name.version()) > 0 || isMoving(name)) {
                fault(place, name.version() + " still carries traffic or is part of a move");
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
            String place = "routes.added[" + i + "]";
            if (mDraft.routes().containsKey(String.valueOf(added.get(i).name()))) {
                fault(place + ".name", added.get(i).name() + " exists already");
            }
            putRoute(place, added.get(i));
        }
        List<RouteConfig> changed = mNote.routes().changed();
        for (int i = 0; i < changed.size(); i++) {
            String place = "routes.changed[" + i + "]";
            checkRouteExists(place + ".name", changed.get(i).name());
            putRoute(place, changed.get(i));
        }
        List<String> withdrawn = mNote.routes().withdrawn();
        for (int i = 0; i < withdrawn.size(); i++) {
            checkRouteExists("routes.withdrawn[" + i + "]", withdrawn.get(i));
            mDraft.routes().remove(withdrawn.get(i));
        }
    }

    private void checkRouteExists(String place, String name) {
        if (!mDraft.routes().containsKey(String.valueOf(name))) {
            fault(place, "unknown route " + name);
        }
    }

    private void putRoute(String place, RouteConfig route) {
        if (!checkName(place + ".name", route.name())) {
            return;
        }
        findService(place + ".service", route.service());
        if (route.path() == null || !route.path().startsWith("/")) {
            fault(place + ".path", "must start with a slash");
            return;
        }
        for (RouteConfig other : mDraft.routes().values()) {
            if (other.path().equals(route.path()) && !other.name().equals(route.name())) {
                fault(place + ".path", "is taken by route " + other.name());
            }
        }
        mDraft.routes().put(route.name(), route);
    }

    private void applyMoves() {
        Set<String> seen = new HashSet<>();
        for (int i = 0; i < mNote.moves().size(); i++) {
            ReleaseNote.PlannedMove planned = mNote.moves().get(i);
            String place = "moves[" + i + "]";
            if (planned.service() != null && !seen.add(planned.service())) {
                fault(place + ".service", "a note moves a service once at most");
                continue;
            }
            applyMove(place, i, planned);
        }
    }

    private void applyMove(String place, int index, ReleaseNote.PlannedMove planned) {
        Optional<ServiceConfig> found = findService(place + ".service", planned.service());
        boolean valid = checkShare(place + ".share", planned.share());
        if (planned.by() == null) {
            fault(place + ".by", "is missing");
        } else if (!planned.by().isAfter(mNow)) {
            fault(place + ".by", planned.by() + " is past; it is " + mNow + " now");
        }
        if (found.isEmpty()
                || !checkVersion(place + ".from", found.get(), planned.from())
                || !checkVersion(place + ".to", found.get(), planned.to())
                || !valid) {
            return;
        }
        if (planned.from().equals(planned.to())) {
            fault(place + ".to", "is the same version as from");
            return;
        }
        supersedeMove(planned.service());
        ServiceConfig service = mDraft.services().get(planned.service());
        int fromBps = service.sharesBps().get(planned.from());
        int toBps = service.sharesBps().get(planned.to());
        int targetBps = BasisPoints.fromPercent(planned.share());
        if (targetBps <= toBps || targetBps > fromBps + toBps) {
            fault(
                    place + ".share",
                    String.format(
                            "must be over the present %s and at most %s, what both carry",
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
            String place = "services.withdrawn[" + i + "]";
            String name = withdrawn.get(i);
            if (findService(place, name).isEmpty()) {
                continue;
            }
            for (RouteConfig route : mDraft.routes().values()) {
                if (route.service().equals(name)) {
                    fault(place, "route " + route.name() + " still needs " + name);
                }
            }
            supersedeMove(name);
            mDraft.services().remove(name);
        }
    }

    private Optional<ServiceConfig> findService(String place, String name) {
        if (name == null) {
            fault(place, "is missing");
            return Optional.empty();
        }
        ServiceConfig service = mDraft.services().get(name);
        if (service == null) {
            fault(place, "unknown service " + name);
        }
        return Optional.ofNullable(service);
    }

    private boolean checkVersion(String place, ServiceConfig service, String version) {
        if (version == null) {
            fault(place, "is missing");
            return false;
        }
        if (!service.sharesBps().containsKey(version)) {
            fault(place, "unknown version " + version + " of service " + service.name());
            return false;
        }
        return true;
    }

    private boolean checkShare(String place, BigDecimal percent) {
        if (percent == null) {
            fault(place, "is missing");
            return false;
        }
        if (percent.signum() < 0) {
            fault(place, percent.toPlainString() + " is under 0");
            return false;
        }
        if (percent.compareTo(WHOLE_PERCENT) > 0) {
            fault(place, percent.toPlainString() + " is over 100");
            return false;
        }
        if (percent.stripTrailingZeros().scale() > 2) {
            fault(place, percent.toPlainString() + " has more than two decimals");
            return false;
        }
        return true;
    }

    private boolean checkName(String place, String name) {
        if (name == null) {
            fault(place, "is missing");
            return false;
        }
        if (!NAME.matcher(name).matches()) {
            fault(place, "must be 1 to 100 letters, digits, dots, dashes or underscores");
            return false;
        }
        return true;
    }

    private void fault(String place, String problem) {
        mFaults.add(new NoteFault(place, problem));
    }
}
