package org.verbenatally.rig;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;

import org.jboss.logging.Logger;
import org.verbenatally.platform.standin.PlatformMessages;
import org.verbenatally.platform.standin.PlatformMessages.Kind;
import org.verbenatally.platform.standin.RawMessage;

/** A caller that sends one request after the other on a kept connection. */
final class RigCaller {
    private static final Logger LOG = Logger.getLogger(RigCaller.class);
    private static final int MAX_PAUSE_MS = 40;
    private static final int MAX_STAY_MS = 30;
    private static final int TIMEOUT_MARGIN_MS = 3_000;
    private static final int RECONNECT_MS = 50;
    /** Lengths of uploads: one that fits into the buffers of the operating system, and one that may not. */
    private static final int[] UPLOAD_BYTES = {MisbehavingTarget.MIN_UPLOAD_BYTES, 4_000_000};

    private final int number;
    private final RigOptions options;
    private final RunHistory history;
    private final List<InstanceProcess> instances;
    private final Consumer<CallerResult> results;
    private Socket socket;
    private InputStream in;
    private int sent;

    RigCaller(
            int number,
            RigOptions options,
            RunHistory history,
            List<InstanceProcess> instances,
            Consumer<CallerResult> results) {
        this.number = number;
        this.options = options;
        this.history = history;
        this.instances = instances;
        this.results = results;
    }

    /** Sends requests until the time is over. */
    void run() {
        try {
            while (history.millis() < options.duration().toMillis()) {
                sendOne(options.random("caller" + number + "-" + sent));
                sent++;
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            disconnect();
        }
    }

    private void sendOne(SplittableRandom random) throws InterruptedException {
        InstanceProcess instance = instances.get(number % instances.size());
        double which = random.nextDouble();
        Kind kind = which < 0.5 ? Kind.BOOKING : which < 0.8 ? Kind.LOOKUP : Kind.STREAM;
        String id = "c" + number + "r" + sent;
        boolean disturbed = instance.isDisturbed();
        Thread.sleep(random.nextInt(1, MAX_PAUSE_MS));
        try {
            connect(instance);
        } catch (IOException e) {
            LOG.debugf("%s: not connected: %s", id, e.getMessage());
            Thread.sleep(RECONNECT_MS);
            return;
        }
        Optional<RawMessage> response = Optional.empty();
        try {
            socket.setSoTimeout((int) kind.timeout().toMillis() + TIMEOUT_MARGIN_MS);
            socket.getOutputStream().write(PlatformMessages.request(kind, id, body(id)));
            if (random.nextDouble() < options.leavers()) {
                Thread.sleep(random.nextInt(MAX_STAY_MS));
                disconnect();
                return;
            }
            response = RawMessage.readResponse(in);
        } catch (IOException e) {
            LOG.debugf("%s: no response: %s", id, e.getMessage());
        }
        results.accept(new CallerResult(
                id, kind, instance.name(), history.millis(), response, disturbed || instance.isDisturbed()));
        boolean keeps = response.filter(RawMessage::complete)
                .filter(r -> !r.header("Connection").orElse("").equalsIgnoreCase("close"))
                .isPresent();
        if (!keeps) {
            disconnect();
        }
    }

    private String body(String id) {
        SplittableRandom random = options.random(id + "body");
        boolean upload = random.nextDouble() < options.uploads();
        return "body of " + id + (upload ? " ".repeat(UPLOAD_BYTES[random.nextInt(UPLOAD_BYTES.length)]) : "");
    }

    private void connect(InstanceProcess instance) throws IOException {
        if (socket == null) {
            socket = new Socket("127.0.0.1", instance.front());
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
        }
    }

    private void disconnect() {
        if (socket != null) {
            try {
                socket.close();
            } catch (IOException e) {
                LOG.debugf("caller %d: not closed: %s", number, e.getMessage());
            }
            socket = null;
        }
    }
}
