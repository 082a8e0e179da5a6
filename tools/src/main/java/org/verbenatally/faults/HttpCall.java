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
 * One HTTP/1.1 exchange on a separate connection. It is written without a client library because libraries hide what
 * the fault cases need: a read timeout within a stream, a reset, a slow reader, and the difference between the end of a
 * body and a lost connection.
 */
final class HttpCall implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MS = 2_000;

    private final Socket socket = new Socket();
    private final Map<String, String> headers = new HashMap<>();
    private InputStream in;
    private int status;
    private boolean chunked;
    private long remaining;

    private HttpCall() {}

    /**
     * Opens a connection. If this fails, nothing was sent.
     *
     * @param silenceTimeoutMs longest time without received data, in milliseconds, after which a read fails
     */
    static HttpCall connect(Address address, int silenceTimeoutMs) throws IOException {
        HttpCall call = new HttpCall();
        try {
            call.socket.setTcpNoDelay(true);
            call.socket.setSoTimeout(silenceTimeoutMs);
            call.socket.connect(new InetSocketAddress(address.host(), address.port()), CONNECT_TIMEOUT_MS);
            call.in = new BufferedInputStream(call.socket.getInputStream());
            return call;
        } catch (IOException e) {
            call.close();
            throw e;
        }
    }

    /** Sends a request and reads the status line and headers of the response. */
    HttpCall exchange(String method, String path, Map<String, String> requestHeaders, byte[] body) throws IOException {
        send(method, path, requestHeaders, body);
        readHead();
        return this;
    }

    /** Sends a request without waiting for the response. */
    void send(String method, String path, Map<String, String> requestHeaders, byte[] body) throws IOException {
        StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: entry\r\n");
        requestHeaders.forEach(
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

    /** Reads the status line and the headers of the response. */
    void readHead() throws IOException {
        String line = readLine();
        String[] parts = line.split(" ", 3);
        if (parts.length < 2) {
            throw new IOException("malformed status line");
        }
        status = Integer.parseInt(parts[1]);
        for (String field = readLine(); !field.isEmpty(); field = readLine()) {
            int colon = field.indexOf(':');
            headers.put(
                    field.substring(0, colon).toLowerCase(Locale.ROOT),
                    field.substring(colon + 1).trim());
        }
        chunked = "chunked".equalsIgnoreCase(headers.get("transfer-encoding"));
        remaining = chunked || status == 204 ? 0 : Long.parseLong(headers.getOrDefault("content-length", "-1"));
    }

    int status() {
        return status;
    }

    String header(String name) {
        return headers.get(name.toLowerCase(Locale.ROOT));
    }

    /** Returns the next byte of the body, or -1 at its end. Fails if the connection ends before that. */
    int readBodyByte() throws IOException {
        if (chunked && remaining == 0) {
            remaining = readChunkSize();
            if (remaining == 0) {
                chunked = false;
                return -1;
            }
        }
        if (remaining == 0) {
            return -1;
        }
        int next = in.read();
        if (next < 0 && remaining > 0) {
            throw new EOFException("connection ended within the body");
        }
        if (remaining > 0) {
            remaining--;
            if (chunked && remaining == 0) {
                readLine();
            }
        }
        return next;
    }

    private long readChunkSize() throws IOException {
        long size = Long.parseLong(readLine().split(";")[0].trim(), 16);
        if (size == 0) {
            readLine();
        }
        return size;
    }

    /** Returns the next line of the body without its line terminator, or {@code null} at the end of the body. */
    String readBodyLine() throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int next = readBodyByte();
        if (next < 0) {
            return null;
        }
        while (next >= 0 && next != '\n') {
            if (next != '\r') {
                bytes.write(next);
            }
            next = readBodyByte();
        }
        return bytes.toString(StandardCharsets.UTF_8);
    }

    /** Returns the rest of the body. */
    String readRemainingBody() throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int next = readBodyByte(); next >= 0; next = readBodyByte()) {
            bytes.write(next);
        }
        return bytes.toString(StandardCharsets.UTF_8);
    }

    private String readLine() throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int next = in.read();
        while (next >= 0 && next != '\n') {
            if (next != '\r') {
                bytes.write(next);
            }
            next = in.read();
        }
        if (next < 0) {
            throw new EOFException("connection ended within a header or chunk-size line");
        }
        return bytes.toString(StandardCharsets.ISO_8859_1);
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // The socket is already closed.
        }
    }
}
