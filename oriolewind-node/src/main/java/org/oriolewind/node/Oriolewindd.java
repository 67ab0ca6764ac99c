package org.oriolewind.node;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.oriolewind.node.log.ShutdownHook;
import org.tinylog.Logger;

/** Main class of the daemon {@code oriolewindd}, which runs one node beside one backend server. */
public final class Oriolewindd {
    private static final int EXIT_OK = 0;
    private static final int EXIT_FAILED = 1;
    private static final int EXIT_BAD_SETTINGS = 2;

    private Oriolewindd() {}

    /**
     * Starts the daemon, which runs until the process gets a stop signal. Exits with status 2 if
     * the settings are invalid and 1 if the node can't start.
     *
     * @param args the flags of {@link SettingName}, {@code --help} or {@code --version}
     */
    public static void main(String[] args) {
        ShutdownHook shutdownHook = ShutdownHook.install();
        Options options = options();
        try {
            CommandLine flags = new DefaultParser().parse(options, args);
            if (flags.hasOption("help")) {
                printHelp();
                System.exit(EXIT_OK);
            }
            if (flags.hasOption("version")) {
                System.out.println("oriolewindd " + BuildVersion.text());
                System.exit(EXIT_OK);
            }
            if (!flags.getArgList().isEmpty()) {
                throw new ParseException(
                        "unexpected arguments: " + String.join(" ", flags.getArgList()));
            }
            run(NodeSettings.read(flags, System.getenv()), shutdownHook);
        } catch (ParseException e) {
            System.err.println("oriolewindd: " + e.getMessage());
            System.exit(EXIT_BAD_SETTINGS);
        } catch (SettingsException e) {
            e.errors().forEach(error -> System.err.println("oriolewindd: " + error));
            System.exit(EXIT_BAD_SETTINGS);
        } catch (Exception e) {
            Logger.error(e, "cannot start the node");
            System.err.println("oriolewindd: cannot start: " + e.getMessage());
            System.exit(EXIT_FAILED);
        }
    }

    private static void run(NodeSettings settings, ShutdownHook shutdownHook) throws Exception {
        Node node = new Node(settings);
        node.start();
        shutdownHook.setStop(node::close);
    }

    private static Options options() {
        Options options = new Options();
        options.addOption(Option.builder("h").longOpt("help").get());
        options.addOption(Option.builder().longOpt("version").get());
        for (SettingName name : SettingName.values()) {
            options.addOption(Option.builder().longOpt(name.flag()).hasArg().get());
        }
        return options;
    }

    private static void printHelp() {
        System.out.println("usage: oriolewindd --FLAG VALUE ...");
        System.out.println();
        System.out.println(
                "Each flag can also be set by an environment variable; the flag takes precedence.");
        for (SettingName name : SettingName.values()) {
            String defaultText =
                    name.defaultValue() == null ? "required" : "default " + name.defaultValue();
            System.out.printf(
                    "  --%s %s%n      %s; %s; %s%n",
                    name.flag(), name.argument(), name.help(), defaultText, name.variable());
        }
        System.out.println("  --help, --version");
    }
}
