package org.oriolewind.cli;

import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.oriolewind.config.ConfigException;
import org.oriolewind.config.NoteException;
import org.oriolewind.config.PublishException;
import org.oriolewind.error.OperationException;
import org.oriolewind.node.BuildVersion;
import org.oriolewind.platform.PlatformException;
import org.oriolewind.time.SystemNodeClock;

/** Entry point of the command line tool {@code oriolewind}. Stateless. */
public final class Oriolewind {
    private static final List<CliCommand> COMMANDS =
            List.of(
                    new ValidateCommand(),
                    new PublishCommand(),
                    new StatusCommand(),
                    new NodesCommand(),
                    new DataCentreCommand(),
                    new DrainCommand(),
                    new TimelineCommand(),
                    new ExplainCommand(),
                    new ReplayCommand());

    private Oriolewind() {}

    /**
     * Runs one command and ends the JVM with its exit status.
     *
     * @param args the command's name, then its flags and arguments
     */
    public static void main(String[] args) {
        ExitStatus status = run(args, System.getenv(), System.out, System.err);
        System.out.flush();
        System.exit(status.code());
    }

    /**
     * Runs one command in the calling thread. Failures of the command are printed to {@code err}
     * and determine the exit status.
     *
     * @param args the command's name, then its flags and arguments
     * @param environment the environment variables, read for settings that no flag gives
     * @param out receives results and requested help
     * @param err receives error messages
     * @return the exit status, {@link ExitStatus#BAD_INPUT} for an unknown command or flag
     */
    public static ExitStatus run(
            String[] args, Map<String, String> environment, PrintStream out, PrintStream err) {
        if (args.length == 0 || args[0].equals("--help") || args[0].equals("-h")) {
            printHelp(args.length == 0 ? err : out);
            return args.length == 0 ? ExitStatus.BAD_INPUT : ExitStatus.OK;
        }
        if (args[0].equals("--version")) {
            out.println("oriolewind " + BuildVersion.text());
            return ExitStatus.OK;
        }
        Optional<CliCommand> command =
                COMMANDS.stream().filter(c -> c.name().equals(args[0])).findFirst();
        if (command.isEmpty()) {
            err.println("oriolewind: unknown command " + args[0] + "; see oriolewind --help");
            return ExitStatus.BAD_INPUT;
        }
        return run(command.get(), args, environment, out, err);
    }

    private static ExitStatus run(
            CliCommand command,
            String[] args,
            Map<String, String> environment,
            PrintStream out,
            PrintStream err) {
        Options options = new Options();
        options.addOption(Option.builder().longOpt(CliContext.PLATFORM_URL_FLAG).hasArg().get());
        options.addOption(Option.builder("h").longOpt("help").get());
        command.addOptions(options);
        try (CliContext context = new CliContext(environment, out, new SystemNodeClock())) {
            String[] rest = Arrays.copyOfRange(args, 1, args.length);
            CommandLine line = new DefaultParser().parse(options, rest);
            if (line.hasOption("help")) {
                out.println("usage: oriolewind " + command.usage());
                out.println(command.summary());
                return ExitStatus.OK;
            }
            return command.run(context, line);
        } catch (ParseException e) {
            err.println("oriolewind: " + e.getMessage());
            return ExitStatus.BAD_INPUT;
        } catch (NoteException e) {
            e.faults().forEach(fault -> err.println("oriolewind: " + fault));
            return ExitStatus.BAD_INPUT;
        } catch (OperationException e) {
            err.println("oriolewind: " + e.getMessage());
            return exitStatusOf(e);
        }
    }

    private static ExitStatus exitStatusOf(OperationException e) {
        if (e instanceof CliException cli) {
            return cli.status();
        }
        if (e instanceof PublishException publish) {
            return switch (publish.reason()) {
                case LOST_RACE -> ExitStatus.LOST_RACE;
                case UNREACHABLE -> ExitStatus.UNREACHABLE;
                case OUTCOME_UNKNOWN -> ExitStatus.OUTCOME_UNKNOWN;
            };
        }
        if (e instanceof PlatformException) {
            return ExitStatus.UNREACHABLE;
        }
        return e instanceof ConfigException ? ExitStatus.BAD_INPUT : ExitStatus.FAILED;
    }

    private static void printHelp(PrintStream out) {
        out.println("usage: oriolewind COMMAND [FLAGS] [ARGUMENTS]");
        out.println();
        for (CliCommand command : COMMANDS) {
            out.printf("  %s%n      %s%n", command.usage(), command.summary());
        }
        out.println();
        out.println("--platform-url URL (or ORIOLEWIND_PLATFORM_URL): the platform's object API");
        out.println("exit status: 0 well, 1 failed, 2 bad input, 3 lost a race, 4 platform can't");
        out.println("be reached and nothing was published, 5 outcome unknown, 6 taken back");
    }
}
