package org.verbenatally.rig;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import org.jboss.logging.Logger;
import org.verbenatally.core.Address;
import org.verbenatally.core.LogEvent;
import org.verbenatally.platform.standin.PlatformMessages;
import org.verbenatally.platform.standin.PlatformMessages.Kind;
import org.verbenatally.platform.standin.RawMessage;
import org.verbenatally.platform.standin.StoreStandin;

/**
 * A target that writes to raw sockets, so that it can send any bytes at any time. What it does with a request depends
 * on the seed, the id of the request and its own id only.
 */
final class MisbehavingTarget implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(MisbehavingTarget.class);
    /** A request whose body is at least as long may be answered before it was read. */
    static final int MIN_UPLOAD_BYTES = 300_000;

    private static final int BACKLOG = 200;
    private static final int MAX_REPEAT_DELAY_MS = 50;
    private static final int MAX_WORK_MS = 20;
    private static final int LATE_MS = 300;
    private static final int CLOSE_DELAY_MS = 3;
    private static final int SMALL_BUFFER = 16_384;
    private static final int[] EARLY_DELAYS_MS = {0, 4, 40};
    private static final Duration PAUSE = Duration.ofSeconds(2);

    private static final List<String> JUNK =
            List.of("\r\n", "\0\1\2\3", "HTTP/1.1 ", "200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\n", "junk\r\n", "X: 1\r\n");
    private static final List<String> INTERIM = List.of(
            "HTTP/1.1 100 Continue\r\n\r\n",
            "HTTP/1.1 102 Processing\r\n\r\n",
            "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n",
            "HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\n");

    private static final List<String> MALFORMED_LINES = List.of(
            "Bad Name: v",
            "Bad\tName: v",
            "Bad\1Name: v",
            " Folded: v",
            "Content Length: 5",
            "Content-Length 5: 7",
            "Transfer Encoding: chunked");
    private static final int[] UNDEFINED_STATUSES = {0, 1, 99, 600, 999};

    private final ServerSocket socket = new ServerSocket();
    private final String id;
    private final String service;
    private final RigOptions options;
    private final RunHistory history;
    private final AtomicInteger connections = new AtomicInteger();
    private final AtomicInteger stamps = new AtomicInteger();
    private final Map<String, Integer> copies = new ConcurrentHashMap<>();

    MisbehavingTarget(String id, String service, RigOptions options, RunHistory history) throws IOException {
        this.id = id;
        this.service = service;
        this.options = options;
        this.history = history;
        if (options.random(id + "buffer").nextBoolean()) {
            socket.setReceiveBufferSize(SMALL_BUFFER);
        }
        socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
        Thread.startVirtualThread(this::accept);
    }

    /** Writes the target's entry to the store. */
    void publish(StoreStandin store, boolean leaving) {
        Address address = new Address(socket.getInetAddress().getHostAddress(), socket.getLocalPort());
        PlatformMessages.publishTarget(store, id, service, address, leaving);
    }

    private void accept() {
        while (!socket.isClosed()) {
            try {
                Socket accepted = socket.accept();
                Thread.startVirtualThread(() -> serve(accepted));
            } catch (IOException e) {
                if (!socket.isClosed()) {
                    LogEvent.of("target.acceptFailed")
                            .with("target", id)
                            .with("reason", e.getMessage())
                            .warn(LOG);
                }
            }
        }
    }

    private void serve(Socket accepted) {
        var connection = new TargetConnection(id + "#" + connections.incrementAndGet(), accepted, history::millis);
        try (accepted) {
            accepted.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(accepted.getInputStream());
            boolean open = true;
            while (open) {
                Optional<RawMessage> request = RawMessage.readRequest(in, head -> !isAnsweredEarly(head));
                open = request.isPresent() && answerOrEnd(request.get(), connection);
            }
        } catch (IOException e) {
            LOG.debugf("%s: connection lost: %s", connection, e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Answers a request, or a part of it; returns whether the connection stays open. */
    private boolean answerOrEnd(RawMessage request, TargetConnection connection)
            throws IOException, InterruptedException {
        if (request.complete()) {
            return answer(request, connection);
        }
        if (isAnsweredEarly(request)) {
            answerEarly(request, connection);
        }
        return false;
    }

    private boolean isAnsweredEarly(RawMessage head) {
        Optional<String> request = PlatformMessages.requestId(head);
        return request.isPresent()
                && PlatformMessages.kind(head).isPresent()
                && !PlatformMessages.isMisdirected(head, id)
                && Integer.parseInt(head.header("Content-Length").orElse("0")) >= MIN_UPLOAD_BYTES
                && options.draws(Misbehaviour.EARLY, options.random(request.get() + id + "early"));
    }

    /** Sends a part of an answer without a length, and ends the connection with the request's body unread. */
    private void answerEarly(RawMessage head, TargetConnection connection) throws IOException, InterruptedException {
        String request = PlatformMessages.requestId(head).orElseThrow();
        Kind kind = PlatformMessages.kind(head).orElseThrow();
        int after = PlatformMessages.continuesAfter(head).orElse(0);
        connection.noteRead(request + ", without its body");
        SplittableRandom random = options.random(request + id);
        String stamp = "stamp-" + id + "-" + stamps.incrementAndGet();
        Answer answer = Answer.draw(kind, request, stamp, after, true, options, random);
        history.add(
                new TargetRun(id, connection, history.millis(), after > 0, answer, connection.takePreceding(), false));
        connection.writeAnswer("answers early " + request, answer.drawBeginning(random));
        Thread.sleep(EARLY_DELAYS_MS[random.nextInt(EARLY_DELAYS_MS.length)]);
        connection.close(random.nextBoolean());
    }

    /** Answers a request; returns whether the connection stays open. */
    private boolean answer(RawMessage request, TargetConnection connection) throws IOException, InterruptedException {
        Optional<Kind> kind = PlatformMessages.kind(request);
        Optional<String> requestId = PlatformMessages.requestId(request);
        if (PlatformMessages.isCopyOrder(request)) {
            return copy(request, connection);
        }
        if (kind.isEmpty() || requestId.isEmpty()) {
            connection.writeAnswer("health", plain("200 OK", ""));
            return true;
        }
        if (PlatformMessages.isMisdirected(request, id)) {
            connection.writeAnswer("misdirected", plain("421 Misdirected Request", ""));
            return true;
        }
        connection.noteRead(requestId.get());
        return answer(kind.get(), requestId.get(), PlatformMessages.continuesAfter(request), connection);
    }

    private boolean answer(Kind kind, String request, Optional<Integer> continuesAfter, TargetConnection connection)
            throws IOException, InterruptedException {
        SplittableRandom random = options.random(request + id);
        boolean noLength = options.draws(Misbehaviour.NO_LENGTH, random);
        String stamp = "stamp-" + id + "-" + stamps.incrementAndGet();
        Answer drawn = options.draws(Misbehaviour.PAUSE, options.random(request + id + "pause"))
                ? Answer.pausing(request, stamp, PAUSE)
                : Answer.draw(kind, request, stamp, continuesAfter.orElse(0), noLength, options, random);
        Answer answer = malform(drawn, options.random(request + id + "malformed"));
        boolean breaksOff = options.draws(Misbehaviour.BREAK_OFF, random);
        boolean late = options.draws(Misbehaviour.LATE, random);
        Thread.sleep(late ? kind.timeout().toMillis() + random.nextInt(LATE_MS) : random.nextInt(1, MAX_WORK_MS));
        writeStrayBytes(answer, connection, random);
        if (noLength) {
            connection.forbidStrayBytes();
        }
        List<String> preceding = connection.takePreceding();
        boolean sound = answer == drawn && !breaksOff && !late && preceding.isEmpty();
        history.add(
                new TargetRun(id, connection, history.millis(), continuesAfter.isPresent(), answer, preceding, sound));
        byte[] bytes = answer.bytes();
        if (breaksOff) {
            int cut = answer.drawCut(random);
            connection.writeAnswer("begins " + request, Arrays.copyOf(bytes, cut));
            // An early end of a body without a length can be told from its end only by a reset.
            boolean reset = random.nextBoolean();
            connection.close(noLength || reset);
            return false;
        }
        connection.writeAnswer("answers " + request, bytes);
        if (noLength || options.draws(Misbehaviour.CLOSE, random)) {
            Thread.sleep(random.nextInt(CLOSE_DELAY_MS));
            connection.close(false);
            return false;
        }
        repeat(answer, connection, random);
        return true;
    }

    /** Returns the answer with a head that HTTP does not allow, or as it is. */
    private Answer malform(Answer answer, SplittableRandom random) {
        if (options.draws(Misbehaviour.FIELD_NAME, random)) {
            String line = MALFORMED_LINES.get(random.nextInt(MALFORMED_LINES.size()));
            return answer.withHeader(line, random.nextInt(answer.headers().size() + 1));
        }
        if (options.draws(Misbehaviour.UNDEFINED_STATUS, random)) {
            return answer.withStatus(UNDEFINED_STATUSES[random.nextInt(UNDEFINED_STATUSES.length)]);
        }
        return answer;
    }

    /** Writes what a faulty target may send in front of an answer. */
    private void writeStrayBytes(Answer answer, TargetConnection connection, SplittableRandom random)
            throws IOException, InterruptedException {
        if (options.draws(Misbehaviour.JUNK, random)) {
            connection.writeStray("junk", bytes(JUNK.get(random.nextInt(JUNK.size()))));
        }
        if (options.draws(Misbehaviour.INTERIM, random)) {
            connection.writeStray("interim", bytes(INTERIM.get(random.nextInt(INTERIM.size()))));
        }
        boolean head = options.draws(Misbehaviour.RESTART_HEAD, random);
        boolean status = options.draws(Misbehaviour.RESTART_STATUS, random);
        boolean body = options.draws(Misbehaviour.RESTART_BODY, random);
        if (head || status || body) {
            Answer first = status ? answer.withStatus(answer.isSuccess() ? 500 : 200) : answer;
            int length = first.head().length;
            int cut = body ? length + random.nextInt(first.bytes().length - length) : first.drawCut(random);
            cut = body ? cut : Math.min(cut, length - 1);
            connection.writeStray("begins own answer", Arrays.copyOf(first.bytes(), cut));
            if (random.nextBoolean()) {
                Thread.sleep(random.nextInt(MAX_REPEAT_DELAY_MS));
            }
        }
    }

    /** Repeats an answer: at once, within some milliseconds, or together with the next answer. */
    private void repeat(Answer answer, TargetConnection connection, SplittableRandom random) throws IOException {
        boolean cut = options.draws(Misbehaviour.REPEAT_CUT, random);
        boolean whole = options.draws(Misbehaviour.REPEAT_WHOLE, random);
        if (!cut && !whole) {
            return;
        }
        byte[] all = answer.bytes();
        byte[] bytes = cut ? Arrays.copyOf(all, answer.drawCut(random)) : all;
        String what = (cut
                        ? bytes.length < answer.head().length ? "repeats part of head" : "repeats part of body"
                        : "repeats whole")
                + " of " + answer.status();
        int delay = random.nextInt(1, MAX_REPEAT_DELAY_MS);
        switch (random.nextInt(4)) {
            case 0 -> connection.writeStray(what, bytes);
            case 1 -> Thread.startVirtualThread(() -> repeatLater(what, bytes, delay, connection));
            default -> connection.keepForNext(what, bytes);
        }
    }

    private static void repeatLater(String what, byte[] bytes, int delayMillis, TargetConnection connection) {
        try {
            Thread.sleep(delayMillis);
            connection.writeStray(what, bytes);
        } catch (IOException e) {
            LOG.debugf("%s: no repeat: %s", connection, e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean copy(RawMessage order, TargetConnection connection) throws IOException {
        String request = PlatformMessages.copiedRequest(order);
        SplittableRandom random = options.random(request + id + "copy");
        int number = copies.merge(request, 1, Integer::sum);
        byte[] answer = plain("200 OK", PlatformMessages.copied(request + "-" + number, 0));
        connection.writeAnswer("copies " + request, answer);
        if (options.draws(Misbehaviour.REPEAT_WHOLE, random)) {
            connection.writeStray("repeats copy", answer);
        }
        return true;
    }

    private static byte[] plain(String status, String body) {
        return bytes("HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\nContent-Length: " + body.length()
                + "\r\n\r\n" + body);
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
