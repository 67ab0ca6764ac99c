import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** A minimal HTTP/1.1 server on a loopback address: one thread a connection, requests in turn. */
abstract class HttpPeer {
    /** A request or an answer as it was read. */
    static final class Message {
        String mStart;
        final Map<String, String> mHeaders = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] mBody = new byte[0];

        String method() {
            return mStart.split(" ")[0];
        }

        String target() {
            return mStart.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(mStart.split(" ")[1]);
        }

        String header(String name) {
            return mHeaders.get(name);
        }

        String text() {
            return new String(mBody, StandardCharsets.UTF_8);
        }
    }

    /** One accepted connection. */
    static final class Connection {
        final Socket mSocket;
        final OutputStream mOut;

        Connection(Socket socket) throws IOException {
            mSocket = socket;
            mOut = socket.getOutputStream();
        }

        /** Writes an answer; headers are given as name and value in turn. */
        synchronized void answer(int status, byte[] body, String... headers) throws IOException {
            StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " Status\r\n");
            for (int i = 0; i < headers.length; i += 2) {
                head.append(headers[i]).append(": ").append(headers[i + 1]).append("\r\n");
            }
            head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            bytes.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            bytes.write(body);
            mOut.write(bytes.toByteArray());
            mOut.flush();
        }
    }

    private final ServerSocket mServer;

    HttpPeer(int port) throws IOException {
        mServer = new ServerSocket();
        mServer.setReuseAddress(true);
        mServer.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1024);
        thread("accept-" + port, this::accept);
    }

    static Thread thread(String name, Runnable action) {
        Thread thread = new Thread(action, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    int port() {
        return mServer.getLocalPort();
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = mServer.accept();
                socket.setTcpNoDelay(true);
                thread("serve-" + port(), () -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Connection connection = new Connection(socket);
            while (true) {
                handle(read(in), connection);
            }
        } catch (IOException e) {
            // The other side has closed the connection.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Answers one request. */
    abstract void handle(Message request, Connection connection)
            throws IOException, InterruptedException;

    /** Reads one message whose body has a length or comes in chunks. */
    static Message read(InputStream in) throws IOException {
        Message message = new Message();
        message.mStart = line(in);
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            message.mHeaders.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
        }
        String encoding = message.header("Transfer-Encoding");
        if (encoding != null && encoding.toLowerCase(Locale.ROOT).contains("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            for (int size = chunk(in); size > 0; size = chunk(in)) {
                body.write(bytes(in, size));
                line(in);
            }
            line(in);
            message.mBody = body.toByteArray();
        } else if (message.header("Content-Length") != null) {
            message.mBody = bytes(in, Integer.parseInt(message.header("Content-Length")));
        }
        return message;
    }

    private static int chunk(InputStream in) throws IOException {
        return Integer.parseInt(line(in).split(";")[0].trim(), 16);
    }

    private static byte[] bytes(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("message is truncated");
        }
        return bytes;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new EOFException("connection closed");
            }
            line.write(c);
        }
        return line.toString(StandardCharsets.ISO_8859_1).trim();
    }
}
