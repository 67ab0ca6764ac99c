package org.oriolewind.spec;

import edu.mit.csail.sdg.alloy4.A4Reporter;
import edu.mit.csail.sdg.ast.Command;
import edu.mit.csail.sdg.parser.CompModule;
import edu.mit.csail.sdg.parser.CompUtil;
import edu.mit.csail.sdg.translator.A4Options;
import edu.mit.csail.sdg.translator.A4Solution;
import edu.mit.csail.sdg.translator.TranslateAlloyToKodkod;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * Checks the Alloy model of the core protocol, either complete or with one guard removed. {@code
 * ProtocolCheck [SCOPE]} checks all properties of the complete model in the given scope. Stateless.
 */
public final class ProtocolCheck {
    /** The Alloy scope that CI checks: numbers of atoms by signature and the trace length. */
    public static final String CI_SCOPE = "4 Version, 3 Term, 2 Operator, 2 Node, 1..8 steps";

    private static final String RESOURCE = "protocol.als";
    private static final String GUARD_MARKER = "-- guard ";

    private ProtocolCheck() {}

    /**
     * Runs all commands of the model and prints one line for each: {@code held} for a property
     * without counterexample, {@code reached} for a run with an example, otherwise {@code BROKEN}.
     * The exit status is 1 if a command is broken.
     *
     * @param args the words of an Alloy scope; {@link #CI_SCOPE} if empty
     * @throws IOException if the model can't be read
     */
    public static void main(String[] args) throws IOException {
        String scope = args.length > 0 ? String.join(" ", args) : CI_SCOPE;
        boolean allAsExpected = true;
        for (Command command : parse(specification(Optional.empty(), scope)).getAllCommands()) {
            long startNanos = System.nanoTime();
            boolean found = run(command.label, Optional.empty(), scope);
            boolean asExpected = found != command.check;
            allAsExpected &= asExpected;
            System.out.printf(
                    "%-34s %-8s %6d ms%n",
                    command.label,
                    asExpected ? (command.check ? "held" : "reached") : "BROKEN",
                    (System.nanoTime() - startNanos) / 1_000_000L);
        }
        System.exit(allAsExpected ? 0 : 1);
    }

    /**
     * Runs one command of the model. Blocks until the solver is done.
     *
     * @param label name of a {@code check} or {@code run} command
     * @param withoutGuard name of the guard whose lines are removed; empty for the complete model
     * @param scope Alloy scope for all commands, such as {@link #CI_SCOPE}
     * @return whether the solver found an instance: a counterexample of a {@code check}, an example
     *     of a {@code run}
     * @throws IOException if the model can't be read
     * @throws IllegalArgumentException if the model has no guard of that name
     * @throws java.util.NoSuchElementException if the model has no command of that name
     */
    public static boolean run(String label, Optional<String> withoutGuard, String scope)
            throws IOException {
        CompModule module = parse(specification(withoutGuard, scope));
        Command command =
                module.getAllCommands().stream()
                        .filter(c -> c.label.equals(label))
                        .findFirst()
                        .orElseThrow();
        A4Solution solution =
                TranslateAlloyToKodkod.execute_command(
                        A4Reporter.NOP, module.getAllReachableSigs(), command, new A4Options());
        return solution.satisfiable();
    }

    private static CompModule parse(String text) {
        return CompUtil.parseEverything_fromString(A4Reporter.NOP, text);
    }

    private static String specification(Optional<String> withoutGuard, String scope)
            throws IOException {
        try (InputStream in = ProtocolCheck.class.getResourceAsStream(RESOURCE)) {
            String text = new String(in.readAllBytes(), StandardCharsets.UTF_8);
            if (withoutGuard.isPresent()
                    && !text.contains(GUARD_MARKER + withoutGuard.get() + "\n")) {
                throw new IllegalArgumentException("the model has no guard " + withoutGuard.get());
            }
            return text.lines()
                            .filter(line -> !isGuardLine(line, withoutGuard))
                            .collect(Collectors.joining("\n"))
                            .replace("SCOPE", scope)
                    + "\n";
        }
    }

    private static boolean isGuardLine(String line, Optional<String> name) {
        return name.isPresent() && line.endsWith(GUARD_MARKER + name.get());
    }
}
