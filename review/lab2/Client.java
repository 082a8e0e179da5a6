import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PushbackInputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;

/** A client of one instance. Each request uses a connection of its own, as a client's first request does. */
final class Client {
    private static final AtomicLong IDS = new AtomicLong(System.nanoTime() & 0xffffff);

    /** What became of one request. */
    static final class Answer {
        String request;
        String instance;
        String parts = "";
        long sent;
        long ended;
        /** 0 if there was no head. */
        int status;
        String stamp;
        String leaving;
        String body = "";
        /** Whether the answer has ended as its framing says. */
        boolean complete;
        String failure = "";
        int expectedEvents;

        int events() {
            return body.isEmpty() ? 0 : body.split("\n\n").length;
        }
    }

    static final List<Answer> ANSWERS = new CopyOnWriteArrayList<>();

    /** Largest number of bytes that one client sends in a millisecond; 0: no limit. */
    static volatile int bytesPerMs;

    private Client() {}

    private static void write(OutputStream out, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.ISO_8859_1);
        long start = System.nanoTime();
        int step = bytesPerMs == 0 ? bytes.length : 8 * bytesPerMs;
        for (int sent = 0; sent < bytes.length; sent += step) {
            out.write(bytes, sent, Math.min(step, bytes.length - sent));
            if (bytesPerMs > 0) {
                Server.pause((sent + step) / bytesPerMs - (System.nanoTime() - start) / 1_000_000);
            }
        }
        out.flush();
    }

    static Answer stream(
            String instance, int port, String host, String path, int promptTokens, int events, String parts, long deadlineMs) {
        String fields = "Model: m\r\nToken-Count: " + promptTokens + "," + events * 8 + "\r\nPrompt-Prefix: " + parts
                + "\r\nLength-Hint: " + events * 4 + "\r\n";
        return send(instance, port, "POST", host, path, fields, "events=" + events, deadlineMs, events, parts);
    }

    static Answer send(
            String instance,
            int port,
            String method,
            String host,
            String path,
            String fields,
            String body,
            long deadlineMs,
            int expectedEvents,
            String parts) {
        Answer a = new Answer();
        a.request = "%016x".formatted(IDS.incrementAndGet() * 0x9E3779B97F4A7C15L);
        a.instance = instance;
        a.expectedEvents = expectedEvents;
        a.parts = parts;
        a.sent = Record.now();
        Record.log("sent request=%s to=%s %s %s parts=%s", a.request, instance, method, path, parts);
        ByteArrayOutputStream received = new ByteArrayOutputStream();
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(instance, port), 1_000);
            // A client waits no longer than it has said.
            Thread.ofVirtual().start(() -> {
                Server.pause(a.sent + deadlineMs - Record.now());
                Http.closeQuietly(socket);
            });
            Http.write(socket.getOutputStream(), method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nAttempt-Id: "
                    + a.request + "\r\n" + fields + "Deadline-Ms: " + deadlineMs
                    + "\r\nAuthorization: Token key-1\r\nContent-Length: " + body.length() + "\r\n\r\n");
            write(socket.getOutputStream(), body);
            PushbackInputStream in = new PushbackInputStream(socket.getInputStream());
            Http.Head head = Http.head(in);
            if (head == null) {
                throw new IOException("connection closed without an answer");
            }
            a.stamp = head.get("Server-Stamp");
            a.leaving = head.get("Server-Leaving");
            if (head.get("Transfer-Encoding") != null) {
                a.status = head.status();
                for (byte[] c = Http.chunk(in); c.length > 0; c = Http.chunk(in)) {
                    received.write(c);
                }
            } else {
                a.status = head.status();
                received.write(Http.body(in, head));
            }
            a.complete = true;
        } catch (IOException e) {
            a.failure = String.valueOf(e.getMessage());
        }
        a.body = received.toString(StandardCharsets.ISO_8859_1);
        a.ended = Record.now();
        Record.log("answered request=%s status=%d stamp=%s complete=%s events=%d of %d bytes=%d %s", a.request, a.status,
                a.stamp, a.complete, expectedEvents > 0 ? a.events() : 0, expectedEvents, a.body.length(), a.failure);
        ANSWERS.add(a);
        return a;
    }
}
