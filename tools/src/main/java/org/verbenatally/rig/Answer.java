package org.verbenatally.rig;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.SplittableRandom;

import org.verbenatally.platform.standin.PlatformMessages;
import org.verbenatally.platform.standin.PlatformMessages.Kind;

/**
 * An answer of a target to a request.
 *
 * @param requestId id of the request
 * @param stamp stamp that no other answer has
 * @param status HTTP status
 * @param notRun whether the target states that it has not run the request
 * @param statesId whether the head states the id of the request
 * @param framing how the end of the body is found
 * @param headers lines of the head after the status line, in order
 * @param body the body, without its framing
 * @param pause how long the target wants no further requests; zero if it does not say so
 */
record Answer(
        String requestId,
        String stamp,
        int status,
        boolean notRun,
        boolean statesId,
        Framing framing,
        List<String> headers,
        byte[] body,
        Duration pause) {
    private static final int MAX_PADDING = 2_000;
    private static final int CHUNK_BYTES = 200;
    private static final int MAX_EVENTS = 12;
    private static final int UNAVAILABLE = 503;
    private static final double MILLIS_PER_SECOND = 1_000;

    /** How the end of a body is found. */
    enum Framing {
        LENGTH,
        CHUNKS,
        END_OF_CONNECTION
    }

    Answer {
        Objects.requireNonNull(requestId, "requestId");
        headers = List.copyOf(headers);
    }

    /** Returns the refusal of a target that wants no further requests for a while. */
    static Answer pausing(String id, String stamp, Duration pause) {
        List<String> headers = new ArrayList<>(PlatformMessages.responseHeaders(Optional.of(id), stamp, true));
        headers.add("Retry-After: " + pause.toMillis() / MILLIS_PER_SECOND);
        headers.add("Content-Length: 0");
        return new Answer(id, stamp, UNAVAILABLE, true, true, Framing.LENGTH, headers, new byte[0], pause);
    }

    /** Draws an answer to a request. */
    static Answer draw(
            Kind kind,
            String id,
            String stamp,
            int after,
            boolean noLength,
            RigOptions options,
            SplittableRandom random) {
        int status = 200;
        boolean notRun = false;
        boolean statesId = true;
        if (random.nextDouble() < options.failures()) {
            double which = random.nextDouble();
            status = which < 0.5 ? 500 : which < 0.65 ? 504 : 503;
            notRun = which >= 0.7;
            statesId = which < 0.85;
        }
        Framing framing = noLength
                ? Framing.END_OF_CONNECTION
                : kind == Kind.STREAM || random.nextDouble() < 0.3 ? Framing.CHUNKS : Framing.LENGTH;
        byte[] body = kind == Kind.STREAM && status == 200
                ? events(id, after)
                : (id + " " + stamp + " " + "x".repeat(random.nextInt(MAX_PADDING)))
                        .getBytes(StandardCharsets.US_ASCII);
        boolean hasStamp = !notRun || random.nextBoolean();
        List<String> own =
                PlatformMessages.responseHeaders(statesId ? Optional.of(id) : Optional.empty(), stamp, notRun);
        List<String> headers = new ArrayList<>(hasStamp ? own : own.subList(statesId ? 0 : 1, own.size()));
        List<String> general = new ArrayList<>(List.of(
                "Content-Type: " + (kind == Kind.STREAM && status == 200 ? "text/event-stream" : "text/plain"),
                "Date: Sun, 06 Dec 2026 00:00:00 GMT"));
        general.add(
                switch (framing) {
                    case LENGTH -> "Content-Length: " + body.length;
                    case CHUNKS -> "Transfer-Encoding: chunked";
                    case END_OF_CONNECTION -> "Connection: close";
                });
        headers.addAll(random.nextBoolean() ? 0 : headers.size(), general);
        if (random.nextInt(4) == 0) {
            shuffle(headers, random);
        }
        return new Answer(id, stamp, status, notRun, statesId, framing, headers, body, Duration.ZERO);
    }

    private static void shuffle(List<String> list, SplittableRandom random) {
        for (int i = list.size() - 1; i > 0; i--) {
            list.set(i, list.set(random.nextInt(i + 1), list.get(i)));
        }
    }

    /** Returns the events of a generation after the given one; they depend on the request only. */
    static byte[] events(String id, int after) {
        StringBuilder text = new StringBuilder();
        int last = 2 + Math.floorMod(id.hashCode(), MAX_EVENTS);
        for (int i = after + 1; i <= last; i++) {
            text.append("id: ")
                    .append(i)
                    .append("\ndata: ")
                    .append(id)
                    .append(" part ")
                    .append(i)
                    .append("\n\n");
        }
        return text.toString().getBytes(StandardCharsets.US_ASCII);
    }

    Answer withStatus(int other) {
        return new Answer(requestId, stamp, other, notRun, statesId, framing, headers, body, pause);
    }

    /** Returns this answer with one more line in its head. */
    Answer withHeader(String line, int position) {
        List<String> more = new ArrayList<>(headers);
        more.add(position, line);
        return new Answer(requestId, stamp, status, notRun, statesId, framing, more, body, pause);
    }

    /** Returns whether the name of a field is no token (RFC 9110, section 5.1). */
    boolean isMalformed() {
        return headers.stream().anyMatch(line -> !line.matches("[!#$%&'*+.^_`|~0-9A-Za-z-]+:.*"));
    }

    boolean isSuccess() {
        return status >= 200 && status < 300;
    }

    /** Returns the head with the empty line. */
    byte[] head() {
        return ("HTTP/1.1 " + "%03d".formatted(status) + " " + (isSuccess() ? "OK" : "Failed") + "\r\n"
                        + String.join("\r\n", headers) + "\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII);
    }

    /** Returns all bytes of the answer. */
    byte[] bytes() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(head());
        if (framing != Framing.CHUNKS) {
            out.writeBytes(body);
            return out.toByteArray();
        }
        for (int start = 0; start < body.length; start += CHUNK_BYTES) {
            int length = Math.min(CHUNK_BYTES, body.length - start);
            out.writeBytes((Integer.toHexString(length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
            out.write(body, start, length);
            out.writeBytes("\r\n".getBytes(StandardCharsets.US_ASCII));
        }
        out.writeBytes("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        return out.toByteArray();
    }

    /** Draws a part of an answer that is not chunked: the head, and a body that ends behind an event, if it has any. */
    byte[] drawBeginning(SplittableRandom random) {
        String part = new String(body, 0, random.nextInt(body.length), StandardCharsets.US_ASCII);
        int end = part.lastIndexOf("\n\n");
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(head());
        out.writeBytes((end < 0 ? part : part.substring(0, end + 2)).getBytes(StandardCharsets.US_ASCII));
        return out.toByteArray();
    }

    /** Draws a position at which the answer is cut, mostly within the head; at least one byte is on either side. */
    int drawCut(SplittableRandom random) {
        byte[] head = head();
        int all = bytes().length;
        double where = random.nextDouble();
        if (where < 0.35) {
            return 1 + random.nextInt(Math.min(20, head.length - 1));
        }
        if (where < 0.55) {
            String text = new String(head, StandardCharsets.US_ASCII);
            int line = text.indexOf('\n', random.nextInt(head.length - 3));
            return Math.min(head.length - 1, line + random.nextInt(2));
        }
        return 1 + random.nextInt((where < 0.85 ? head.length : all) - 1);
    }
}
