import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Sends requests as a client does. */
final class Caller {
    private Caller() {}

    static Socket connect(int port) throws IOException {
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1000);
        return socket;
    }

    static byte[] request(String method, String target, byte[] body, String... headers) {
        StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\n");
        boolean hasHost = false;
        for (int i = 0; i < headers.length; i += 2) {
            hasHost |= headers[i].equals("Host");
            head.append(headers[i]).append(": ").append(headers[i + 1]).append("\r\n");
        }
        if (!hasHost) {
            head.append("Host: 127.0.0.1\r\n");
        }
        if (!method.equals("GET")) {
            head.append("Content-Length: ").append(body.length).append("\r\n");
        }
        head.append("\r\n");
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        bytes.writeBytes(body);
        return bytes.toByteArray();
    }

    /** Sends one request and reads its answer. */
    static HttpPeer.Message exchange(
            Socket socket,
            String method,
            String target,
            byte[] body,
            int timeoutMillis,
            String... headers)
            throws IOException {
        socket.setSoTimeout(timeoutMillis);
        socket.getOutputStream().write(request(method, target, body, headers));
        socket.getOutputStream().flush();
        return HttpPeer.read(new BufferedInputStream(socket.getInputStream()));
    }
}
