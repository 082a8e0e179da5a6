package org.verbenatally.rig;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.LongSupplier;

/** The target's side of one connection, with a transcript of its last writes. Methods may be called by any thread. */
final class TargetConnection {
    private static final int MAX_ENTRIES = 24;
    private static final int MAX_BYTES = 400;

    private final String name;
    private final Socket socket;
    private final LongSupplier millis;
    private final Deque<String> transcript = new ArrayDeque<>();
    private final List<String> preceding = new ArrayList<>();
    private byte[] withNext = {};
    private boolean ending;

    TargetConnection(String name, Socket socket, LongSupplier millis) {
        this.name = name;
        this.socket = socket;
        this.millis = millis;
    }

    synchronized void noteRead(String requestId) {
        note("read " + requestId, new byte[0]);
    }

    private void note(String what, byte[] bytes) {
        String text = new String(bytes, 0, Math.min(bytes.length, MAX_BYTES), StandardCharsets.ISO_8859_1);
        transcript.add(
                millis.getAsLong() + " ms " + what + (bytes.length == 0 ? "" : " (" + bytes.length + "): " + text));
        if (transcript.size() > MAX_ENTRIES) {
            transcript.remove();
        }
    }

    /** Writes bytes that belong to no request, or not to the one that waits. */
    synchronized void writeStray(String what, byte[] bytes) throws IOException {
        if (ending) {
            return;
        }
        preceding.add(what);
        note(what, bytes);
        socket.getOutputStream().write(bytes);
    }

    /** Keeps bytes back until the next answer, which is then written together with them. */
    synchronized void keepForNext(String what, byte[] bytes) {
        preceding.add(what);
        note("kept back: " + what, bytes);
        withNext = bytes;
    }

    /** Returns what has been written since the last answer, and forgets it. */
    synchronized List<String> takePreceding() {
        List<String> taken = List.copyOf(preceding);
        preceding.clear();
        return taken;
    }

    /** Prevents stray bytes from now on, which would be part of an answer that ends with its connection. */
    synchronized void forbidStrayBytes() {
        ending = true;
    }

    synchronized void writeAnswer(String what, byte[] bytes) throws IOException {
        byte[] all = new byte[withNext.length + bytes.length];
        System.arraycopy(withNext, 0, all, 0, withNext.length);
        System.arraycopy(bytes, 0, all, withNext.length, bytes.length);
        note(withNext.length > 0 ? what + ", behind the bytes that were kept back" : what, bytes);
        withNext = new byte[0];
        socket.getOutputStream().write(all);
    }

    /** Closes the connection; with a reset, bytes that have not been received are lost. */
    synchronized void close(boolean reset) throws IOException {
        note(reset ? "reset" : "close", new byte[0]);
        if (reset) {
            socket.setSoLinger(true, 0);
        }
        socket.close();
    }

    synchronized List<String> transcript() {
        return List.copyOf(transcript);
    }

    @Override
    public String toString() {
        return name;
    }
}
