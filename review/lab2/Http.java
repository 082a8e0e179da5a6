import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PushbackInputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads and writes HTTP/1.1 messages on plain sockets. */
final class Http {
    private Http() {}

    /** Head of a message, with its start line and the fields by case-insensitive name. */
    static final class Head {
        String first;
        final Map<String, String> fields = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);

        String get(String name) {
            return fields.get(name);
        }

        String method() {
            return first.split(" ")[0];
        }

        String path() {
            return first.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }
    }

    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        int c = in.read();
        if (c < 0) {
            return null;
        }
        while (c >= 0 && c != '\n') {
            if (c != '\r') {
                out.write(c);
            }
            c = in.read();
        }
        if (c < 0) {
            throw new IOException("ended within a line");
        }
        return out.toString(StandardCharsets.ISO_8859_1);
    }

    /** Returns the next head, or null if the connection has ended before it. */
    static Head head(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) {
            return null;
        }
        Head head = new Head();
        head.first = first;
        for (String l = line(in); ; l = line(in)) {
            if (l == null) {
                throw new IOException("ended within a head");
            }
            if (l.isEmpty()) {
                return head;
            }
            int colon = l.indexOf(':');
            head.fields.put(l.substring(0, colon).strip(), l.substring(colon + 1).strip());
        }
    }

    static byte[] body(InputStream in, Head head) throws IOException {
        String te = head.get("Transfer-Encoding");
        if (te != null && te.toLowerCase(Locale.ROOT).contains("chunked")) {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            for (byte[] c = chunk(in); c.length > 0; c = chunk(in)) {
                out.write(c);
            }
            return out.toByteArray();
        }
        String length = head.get("Content-Length");
        return length == null ? new byte[0] : exactly(in, Integer.parseInt(length));
    }

    /** Returns the next chunk; the last one is empty. */
    static byte[] chunk(InputStream in) throws IOException {
        String size = line(in);
        if (size == null) {
            throw new IOException("ended before the last chunk");
        }
        byte[] bytes = exactly(in, Integer.parseInt(size.split(";")[0].strip(), 16));
        line(in);
        return bytes;
    }

    static byte[] exactly(InputStream in, int n) throws IOException {
        byte[] bytes = in.readNBytes(n);
        if (bytes.length < n) {
            throw new IOException("ended within a body: " + bytes.length + " of " + n);
        }
        return bytes;
    }

    static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    static void writeChunk(OutputStream out, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        write(out, Integer.toHexString(bytes.length) + "\r\n" + text + "\r\n");
    }

    static void respond(OutputStream out, String status, String fields, String body) throws IOException {
        write(out, "HTTP/1.1 " + status + "\r\nContent-Length: " + body.getBytes(StandardCharsets.ISO_8859_1).length
                + "\r\n" + fields + "\r\n" + body);
    }

    /** Waits in the background for the next byte or the end of a connection while its request is being served. */
    static final class Watch {
        private final Thread thread;
        volatile boolean closed;

        Watch(PushbackInputStream in, Runnable onClosed) {
            thread = Thread.ofVirtual().start(() -> {
                try {
                    int c = in.read();
                    if (c >= 0) {
                        in.unread(c);
                        return;
                    }
                } catch (IOException e) {
                    // Counts as the end.
                }
                closed = true;
                onClosed.run();
            });
        }

        void join() {
            try {
                thread.join();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed.
        }
    }
}
