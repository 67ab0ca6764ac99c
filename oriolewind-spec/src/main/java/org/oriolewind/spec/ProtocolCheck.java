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
 * Checks the specification of the core protocol, whole or with one guard left out. {@code
 * ProtocolCheck [SCOPE]} checks all properties in a scope. Stateless.
 */
public final class ProtocolCheck {
    /** The scope that CI checks. */
    public static final String CI_SCOPE = "4 Version, 3 Term, 2 Operator, 2 Node, 1..8 steps";

    private static final String RESOURCE = "protocol.als";
    private static final String GUARD_MARKER = "-- guard ";

    private ProtocolCheck() {}

    /**
     * Checks all properties and prints a line each. The exit status is 1 if one is broken.
     *
     * @param args the scope, if it shall be another than that of CI
     * @throws IOException if the specification can't be read
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
     * Runs one command of the specification.
     *
     * @param label the command's name
     * @param withoutGuard the guard to leave out
     * @param scope the scope
     * @return whether an instance was found: a counter-example of a check, an example of a run
     * @throws IOException if the specification can't be read
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
                throw new IllegalArgumentException("no guard " + withoutGuard.get());
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
