package org.verbenatally.faults;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

import org.verbenatally.core.Address;

/**
 * One HTTP/1.1 exchange on a connection of its own. A library client hides what the fault cases need: a read timeout
 * within a stream, a reset, a slow reader, and the difference between the end of a body and a lost connection.
 */
final class HttpCall implements AutoCloseable {
    private static final int CONNECT_MS = 2_000;

    private final Socket socket = new Socket();
    private final Map<String, String> headers = new HashMap<>();
    private InputStream in;
    private int status;
    private boolean chunked;
    private long left;

    private HttpCall() {}

    /**
     * Connects. A failure here means that nothing was sent.
     *
     * @param silenceMs longest time without a byte, in milliseconds; reads then fail
     */
    static HttpCall connect(Address to, int silenceMs) throws IOException {
        HttpCall call = new HttpCall();
        try {
            call.socket.setTcpNoDelay(true);
            call.socket.setSoTimeout(silenceMs);
            call.socket.connect(new InetSocketAddress(to.host(), to.port()), CONNECT_MS);
            call.in = new BufferedInputStream(call.socket.getInputStream());
            return call;
        } catch (IOException e) {
            call.close();
            throw e;
        }
    }

    /** Sends a request and reads the head of the answer. */
    HttpCall exchange(String method, String path, Map<String, String> fields, byte[] body) throws IOException {
        send(method, path, fields, body);
        readHead();
        return this;
    }

    /** Sends a request without waiting for the answer. */
    void send(String method, String path, Map<String, String> fields, byte[] body) throws IOException {
        StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: entry\r\n");
        fields.forEach(
                (name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        if (body != null) {
            head.append("Content-Type: application/json\r\nContent-Length: ")
                    .append(body.length)
                    .append("\r\n");
        }
        head.append("Connection: close\r\n\r\n");
        ByteArrayOutputStream message = new ByteArrayOutputStream();
        message.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        if (body != null) {
            message.writeBytes(body);
        }
        socket.getOutputStream().write(message.toByteArray());
    }

    /** Reads the status line and the headers. */
    void readHead() throws IOException {
        String line = rawLine();
        String[] parts = line.split(" ", 3);
        if (parts.length < 2) {
            throw new IOException("malformed status line");
        }
        status = Integer.parseInt(parts[1]);
        for (String field = rawLine(); !field.isEmpty(); field = rawLine()) {
            int colon = field.indexOf(':');
            headers.put(
                    field.substring(0, colon).toLowerCase(Locale.ROOT),
                    field.substring(colon + 1).trim());
        }
        chunked = "chunked".equalsIgnoreCase(headers.get("transfer-encoding"));
        left = chunked || status == 204 ? 0 : Long.parseLong(headers.getOrDefault("content-length", "-1"));
    }

    int status() {
        return status;
    }

    String header(String name) {
        return headers.get(name.toLowerCase(Locale.ROOT));
    }

    /** Returns the next byte of the body, or -1 at its proper end; fails if the connection ends before that. */
    int read() throws IOException {
        if (chunked && left == 0) {
            left = nextChunk();
            if (left == 0) {
                chunked = false;
                return -1;
            }
        }
        if (left == 0) {
            return -1;
        }
        int next = in.read();
        if (next < 0 && left > 0) {
            throw new EOFException("connection ended within the body");
        }
        if (left > 0) {
            left--;
            if (chunked && left == 0) {
                rawLine();
            }
        }
        return next;
    }

    private long nextChunk() throws IOException {
        long size = Long.parseLong(rawLine().split(";")[0].trim(), 16);
        if (size == 0) {
            rawLine();
        }
        return size;
    }

    /** Returns the next line of the body without its end, or {@code null} at the end of the body. */
    String line() throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int next = read();
        if (next < 0) {
            return null;
        }
        while (next >= 0 && next != '\n') {
            if (next != '\r') {
                bytes.write(next);
            }
            next = read();
        }
        return bytes.toString(StandardCharsets.UTF_8);
    }

    /** Returns the rest of the body. */
    String rest() throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int next = read(); next >= 0; next = read()) {
            bytes.write(next);
        }
        return bytes.toString(StandardCharsets.UTF_8);
    }

    private String rawLine() throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int next = in.read();
        while (next >= 0 && next != '\n') {
            if (next != '\r') {
                bytes.write(next);
            }
            next = in.read();
        }
        if (next < 0) {
            throw new EOFException("connection ended within the head");
        }
        return bytes.toString(StandardCharsets.ISO_8859_1);
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed already.
        }
    }
}
