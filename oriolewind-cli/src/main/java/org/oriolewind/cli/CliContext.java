package org.oriolewind.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.apache.commons.cli.CommandLine;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.oriolewind.config.ConfigPublisher;
import org.oriolewind.config.NoteReader;
import org.oriolewind.config.ReleaseNote;
import org.oriolewind.error.OperationException;
import org.oriolewind.node.store.HttpObjectStore;
import org.oriolewind.platform.ObjectStore;
import org.oriolewind.time.NodeClock;

/**
 * Output, clock and platform client of one command run. The HTTP client is started on first use and
 * stopped by {@link #close}. Not thread-safe.
 */
final class CliContext implements AutoCloseable {
    static final String PLATFORM_URL_FLAG = "platform-url";
    private static final String PLATFORM_URL_VARIABLE = "ORIOLEWIND_PLATFORM_URL";
    private static final Duration PLATFORM_TIMEOUT = Duration.ofSeconds(5);

    private final Map<String, String> mEnvironment;
    private final PrintStream mOut;
    private final NodeClock mClock;
    private HttpClient mClient;

    CliContext(Map<String, String> environment, PrintStream out, NodeClock clock) {
        mEnvironment = environment;
        mOut = out;
        mClock = clock;
    }

    PrintStream out() {
        return mOut;
    }

    NodeClock clock() {
        return mClock;
    }

    /**
     * Returns a client for the platform that the flag names or, without the flag, the environment
     * variable.
     *
     * @throws CliException if neither gives a URL that starts with {@code http://}
     */
    ObjectStore store(CommandLine line) throws CliException {
        String url =
                line.getOptionValue(PLATFORM_URL_FLAG, mEnvironment.get(PLATFORM_URL_VARIABLE));
        if (url == null || !url.startsWith("http://")) {
            throw new CliException(
                    ExitStatus.BAD_INPUT,
                    "check settings",
                    "--"
                            + PLATFORM_URL_FLAG
                            + " (or "
                            + PLATFORM_URL_VARIABLE
                            + ") must be an address such as http://10.0.0.1:8080",
                    null);
        }
        return new HttpObjectStore(client(), url.replaceAll("/+$", ""), PLATFORM_TIMEOUT);
    }

    ConfigPublisher publisher(CommandLine line) throws CliException {
        return new ConfigPublisher(store(line), mClock);
    }

    private HttpClient client() throws CliException {
        if (mClient == null) {
            mClient = new HttpClient();
            QueuedThreadPool threads = new QueuedThreadPool(8, 2);
            threads.setDaemon(true);
            mClient.setExecutor(threads);
            mClient.setConnectTimeout(PLATFORM_TIMEOUT.toMillis());
            try {
                mClient.start();
            } catch (Exception e) {
                throw new CliException(ExitStatus.FAILED, "start", e.getMessage(), e);
            }
        }
        return mClient;
    }

    /**
     * Returns the arguments without the command's name and flags.
     *
     * @throws CliException if there are fewer than {@code min} or more than {@code max}
     */
    static List<String> arguments(CommandLine line, int min, int max, String usage)
            throws CliException {
        List<String> arguments = line.getArgList();
        if (arguments.size() < min || arguments.size() > max) {
            throw new CliException(
                    ExitStatus.BAD_INPUT, "check arguments", "usage: oriolewind " + usage, null);
        }
        return arguments;
    }

    /**
     * Reads a release note.
     *
     * @throws CliException if the file can't be read or is larger than {@link
     *     NoteReader#MAX_NOTE_BYTES}
     * @throws OperationException if the file is not a valid note
     */
    static ReleaseNote readNote(String file) throws OperationException {
        try {
            Path path = Path.of(file);
            if (Files.size(path) > NoteReader.MAX_NOTE_BYTES) {
                throw new CliException(
                        ExitStatus.BAD_INPUT,
                        "read " + file,
                        file
                                + ": "
                                + Files.size(path)
                                + " bytes are over the limit of "
                                + NoteReader.MAX_NOTE_BYTES,
                        null);
            }
            return NoteReader.read(Files.readAllBytes(path));
        } catch (IOException e) {
            throw new CliException(
                    ExitStatus.BAD_INPUT, "read " + file, "can't read " + e.getMessage(), e);
        }
    }

    @Override
    public void close() {
        if (mClient != null) {
            try {
                mClient.stop();
            } catch (Exception e) {
                mOut.println("http client did not stop cleanly: " + e.getMessage());
            }
        }
    }
}
