package org.oriolewind.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.oriolewind.config.ArchivedNote;
import org.oriolewind.config.BasisPoints;
import org.oriolewind.config.ConfigHead;
import org.oriolewind.config.JsonFormat;
import org.oriolewind.config.Move;
import org.oriolewind.config.MoveEvidence;
import org.oriolewind.config.MovePhase;
import org.oriolewind.config.NoteArchive;
import org.oriolewind.error.OperationException;
import org.oriolewind.platform.ObjectStore;

/**
 * Prints the state of moves, of one note or of all, and can wait until they have ended. A note that
 * is no longer part of the configuration is read from the archive. Stateless.
 */
final class StatusCommand implements CliCommand {
    private static final long POLL_INTERVAL_MILLIS = 500;
    private static final int DEFAULT_WAIT_SECONDS = 3600;

    @Override
    public String name() {
        return "status";
    }

    @Override
    public String usage() {
        return "status [--json] [--wait [--timeout-seconds N]] [NOTE-ID]";
    }

    @Override
    public String summary() {
        return "show each move: waiting, moving with its share, done, or taken back with evidence";
    }

    @Override
    public void addOptions(Options options) {
        options.addOption(Option.builder().longOpt("json").get());
        options.addOption(Option.builder().longOpt("wait").get());
        options.addOption(Option.builder().longOpt("timeout-seconds").hasArg().get());
    }

    @Override
    public ExitStatus run(CliContext context, CommandLine line) throws OperationException {
        List<String> arguments = CliContext.arguments(line, 0, 1, usage());
        Optional<String> noteId = arguments.stream().findFirst();
        if (!line.hasOption("wait")) {
            print(context, line, read(context, line, noteId));
            return ExitStatus.OK;
        }
        return awaitEnd(context, line, noteId);
    }

    /** The selected moves, and the configuration version at which they were read. */
    private record StatusSnapshot(long version, List<Move> moves) {
        boolean allEnded() {
            return moves.stream().noneMatch(move -> move.phase().isActive());
        }
    }

    private static StatusSnapshot read(
            CliContext context, CommandLine line, Optional<String> noteId)
            throws OperationException {
        ObjectStore store = context.store(line);
        ConfigHead head = context.publisher(line).readHead();
        List<Move> moves = new ArrayList<>(head.config().moves().values());
        moves.removeIf(move -> noteId.isPresent() && !move.note().equals(noteId.get()));
        boolean inConfig = noteId.isEmpty() || head.config().notes().containsKey(noteId.get());
        if (!inConfig) {
            ArchivedNote archived =
                    new NoteArchive(store)
                            .find(noteId.get())
                            .orElseThrow(() -> unknownNote(noteId.get()));
            moves.addAll(archived.moves());
        }
        moves.sort(Comparator.comparing(Move::createdAt).thenComparing(Move::id));
        return new StatusSnapshot(head.config().version(), moves);
    }

    private static CliException unknownNote(String noteId) {
        return new CliException(
                ExitStatus.BAD_INPUT, "find note", "no note " + noteId + " was published", null);
    }

    /**
     * Waits until all selected moves have ended and prints them whenever the configuration version
     * has changed, and at the end.
     *
     * @throws CliException if the moves have not ended before the timeout
     */
    private ExitStatus awaitEnd(CliContext context, CommandLine line, Optional<String> noteId)
            throws OperationException {
        long deadlineMillis = context.clock().monotonicMillis() + timeoutSeconds(line) * 1000L;
        long printedVersion = -1;
        while (true) {
            StatusSnapshot snapshot = read(context, line, noteId);
            if (snapshot.version() != printedVersion || snapshot.allEnded()) {
                print(context, line, snapshot);
                printedVersion = snapshot.version();
            }
            if (snapshot.allEnded()) {
                boolean rolledBack =
                        snapshot.moves().stream().anyMatch(m -> m.phase() == MovePhase.TAKEN_BACK);
                return rolledBack ? ExitStatus.ROLLED_BACK : ExitStatus.OK;
            }
            if (context.clock().monotonicMillis() >= deadlineMillis) {
                throw new CliException(
                        ExitStatus.FAILED, "wait", "the moves have not ended in time", null);
            }
            pause();
        }
    }

    private static int timeoutSeconds(CommandLine line) throws CliException {
        String text = line.getOptionValue("timeout-seconds", "" + DEFAULT_WAIT_SECONDS);
        try {
            return Integer.parseUnsignedInt(text);
        } catch (NumberFormatException e) {
            throw new CliException(
                    ExitStatus.BAD_INPUT,
                    "check arguments",
                    "--timeout-seconds: '" + text + "' must be a whole number",
                    e);
        }
    }

    private static void pause() throws CliException {
        try {
            Thread.sleep(POLL_INTERVAL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CliException(ExitStatus.FAILED, "wait", "interrupted", e);
        }
    }

    private static void print(CliContext context, CommandLine line, StatusSnapshot snapshot) {
        if (line.hasOption("json")) {
            ObjectNode root = JsonFormat.mapper().createObjectNode();
            root.put("configVersion", snapshot.version());
            root.set("moves", movesJson(context, snapshot));
            context.out().println(root);
            return;
        }
        if (snapshot.moves().isEmpty()) {
            context.out().printf("configuration version %d; no moves%n", snapshot.version());
        }
        snapshot.moves().forEach(move -> context.out().println(text(context, move)));
    }

    private static com.fasterxml.jackson.databind.JsonNode movesJson(
            CliContext context, StatusSnapshot snapshot) {
        var array = JsonFormat.mapper().createArrayNode();
        for (Move move : snapshot.moves()) {
            ObjectNode node = JsonFormat.mapper().valueToTree(move);
            node.put("shareBps", move.shareAt(context.clock().instant()));
            array.add(node);
        }
        return array;
    }

    private static String text(CliContext context, Move move) {
        StringBuilder text = new StringBuilder();
        text.append(
                String.format(
                        "%s  %s %s -> %s  %s, %s of %s by %s",
                        move.id(),
                        move.service(),
                        move.from(),
                        move.to(),
                        move.phase().text(),
                        BasisPoints.toText(move.shareAt(context.clock().instant())),
                        BasisPoints.toText(move.targetBps()),
                        move.by()));
        move.endedAt().ifPresent(at -> text.append("; ended ").append(at));
        move.lateReason().ifPresent(reason -> text.append("; late: ").append(reason));
        move.evidence().ifPresent(evidence -> text.append('\n').append(evidenceText(evidence)));
        return text.toString();
    }

    private static String evidenceText(MoveEvidence evidence) {
        return String.format(
                "    route %s: %s; new: %d of %d failed, %d slow; old: %d of %d failed, %d slow",
                evidence.route(),
                evidence.reason(),
                evidence.newFailures(),
                evidence.newCalls(),
                evidence.newSlow(),
                evidence.oldFailures(),
                evidence.oldCalls(),
                evidence.oldSlow());
    }
}
