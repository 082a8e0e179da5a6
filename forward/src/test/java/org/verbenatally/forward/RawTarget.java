package org.verbenatally.forward;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.OptionalInt;
import java.util.concurrent.locks.LockSupport;

import org.verbenatally.core.Address;

/** A target on loopback whose responses are written byte by byte, so that they can be malformed in any way. */
final class RawTarget implements AutoCloseable {

    /** Responds to one request; returns whether the connection stays open. */
    @FunctionalInterface
    interface Script {
        boolean respond(String head, OutputStream out, Socket socket) throws IOException, InterruptedException;
    }

    /** Far longer than a listener takes to close; another process may get its port meanwhile. */
    private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(2);

    private static final Duration CHECK_INTERVAL = Duration.ofMillis(1);

    private final ServerSocket server = new ServerSocket();
    private final List<String> requests = Collections.synchronizedList(new ArrayList<>());
    private final Script script;
    private final long maxBodyBytes;

    RawTarget(Script script) throws IOException {
        this(script, Long.MAX_VALUE, OptionalInt.empty());
    }

    /**
     * Starts a target that responds to requests whose bodies it may not have read.
     *
     * @param maxBodyBytes number of bytes of a body that are read before the response
     * @param receiveBuffer size of the socket's receive buffer, in bytes; empty for that of the system
     */
    RawTarget(Script script, long maxBodyBytes, OptionalInt receiveBuffer) throws IOException {
        this.script = script;
        this.maxBodyBytes = maxBodyBytes;
        if (receiveBuffer.isPresent()) {
            server.setReceiveBufferSize(receiveBuffer.getAsInt());
        }
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 50);
        Thread.ofVirtual().start(this::accept);
    }

    Address address() {
        return new Address(server.getInetAddress().getHostAddress(), server.getLocalPort());
    }

    /** Returns the heads of the requests that arrived. */
    List<String> requests() {
        return List.copyOf(requests);
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                Thread.ofVirtual().start(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            while (true) {
                String head = readHead(socket.getInputStream());
                if (head.isEmpty()) {
                    return;
                }
                requests.add(head);
                if (!script.respond(head, socket.getOutputStream(), socket)) {
                    return;
                }
            }
        } catch (IOException e) {
            // The client has closed the connection.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Reads a head and skips the body, whose length the head states, as far as it is read at all. */
    private String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                return "";
            }
            head.append((char) next);
        }
        for (String line : head.toString().split("\r\n")) {
            if (line.toLowerCase(java.util.Locale.ROOT).startsWith("content-length:")) {
                long length =
                        Long.parseLong(line.substring(line.indexOf(':') + 1).strip());
                in.skipNBytes(Math.min(length, maxBodyBytes));
            }
        }
        return head.toString();
    }

    /** Returns the value of a header of a request head, or an empty string if it is missing. */
    static String header(String head, String name) {
        for (String line : head.split("\r\n")) {
            if (line.regionMatches(true, 0, name + ":", 0, name.length() + 1)) {
                return line.substring(name.length() + 1).strip();
            }
        }
        return "";
    }

    static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    /** Resets a connection, as a process does that dies with unread bytes. */
    static void reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    /** Stops listening, and waits until connections are refused; those that are open stay so. */
    @Override
    public void close() throws IOException {
        server.close();
        // A listener that a virtual thread is just waiting at may accept connections for a moment after its close.
        long deadline = System.nanoTime() + CLOSE_TIMEOUT.toNanos();
        while (acceptsConnections() && System.nanoTime() < deadline) {
            LockSupport.parkNanos(CHECK_INTERVAL.toNanos());
        }
    }

    private boolean acceptsConnections() {
        try (Socket socket = new Socket(server.getInetAddress(), server.getLocalPort())) {
            return socket.isConnected();
        } catch (IOException e) {
            return false;
        }
    }
}
