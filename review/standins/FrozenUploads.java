import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Instances freeze, one after the other, while clients upload bodies; the clients leave at their deadline. */
final class FrozenUploads {
    /**
     * An upload, in chunks, as fast as the client's link allows. It ends before the deadline if the instance runs.
     *
     * @param bytes length of the body; MaxBodyBytes is 4,194,304
     */
    private record Upload(int bytes, int chunkBytes, int bytesPerSecond) {}

    /** The uploads, in turn. */
    private static final List<Upload> KINDS = List.of(new Upload(1_400_000, 16_384, 2_000_000), new Upload(200_000, 200, 100_000));
    private static final int UPLOADS = 16;
    private static final int FREEZES = 8;
    private static final int START_GAP_MS = 6;
    private static final int DEADLINE_MS = 2_543;
    private static final int FREEZE_MS = 3_000;
    private static final int RECOVERY_MS = 15_000;
    /** Requests of each kind, in the proportion of the site's sheet: 19.2, 21.6, 74.6 and 29.8 per second. */
    private static final int GUIDES = 19;
    private static final int QUOTES = 22;
    private static final int BOOKINGS = 75;
    private static final int LOOKUPS = 30;

    private final Lab lab;

    private FrozenUploads(Lab lab) {
        this.lab = lab;
    }

    public static void main(String[] args) {
        Lab.run(args, lab -> new FrozenUploads(lab).run());
    }

    private static void signal(String name, Lab.Instance instance) throws Exception {
        new ProcessBuilder("kill", "-" + name, Long.toString(instance.pid())).start().waitFor();
    }

    private int run() throws Exception {
        lab.configure(7, Lab.engine(21805, true, true));
        Lab.Server desk = lab.new Server("i-desk1", "desk", (server, m, line) -> {
            lab.log(server.id, "runs " + m.header("Attempt-Id") + ", " + m.body.length + " bytes");
            Lab.pause(10);
            line.write(Lab.answerHead(200, m, "Content-Length: 2\r\n") + "ok");
            return true;
        });
        Lab.Server pool = lab.new Server("i-pool1", "pool", (server, m, line) -> {
            lab.log(server.id, "runs " + m.header("Attempt-Id") + ", " + m.body.length + " bytes");
            line.write(Lab.answerHead(200, m, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"));
            line.chunk(Lab.event(m.header("Attempt-Id"), 1));
            line.write("0\r\n\r\n");
            return true;
        });
        desk.publish("ready");
        pool.publish("ready");
        List<Lab.Instance> instances = List.of(lab.new Instance("front-1"), lab.new Instance("front-2"));
        for (Lab.Instance i : instances) {
            i.start(lab.store.address(), instances, 8);
        }
        for (Lab.Instance i : instances) {
            i.awaitReady();
        }
        Lab.pause(1_000);
        int all = instances.size() * (GUIDES + QUOTES + BOOKINGS + LOOKUPS);
        int before = sendMix("before", instances);
        for (int n = 0; n < FREEZES; n++) {
            for (Lab.Instance i : instances) {
                uploadAndFreeze(i, n);
            }
        }
        lab.log("check", "waits for " + RECOVERY_MS + " ms");
        Lab.pause(RECOVERY_MS);
        for (Lab.Instance i : instances) {
            i.awaitReady();
        }
        int after = sendMix("after", instances);
        lab.log("check", "served before: " + before + " of " + all + ", later than " + RECOVERY_MS + " ms after the machines are back: " + after
                + " of " + all);
        if (before * 4 < all) {
            return Lab.COULD_NOT_RUN;
        }
        return after * 4 < all ? Lab.BROKEN : Lab.HELD;
    }

    private void uploadAndFreeze(Lab.Instance instance, int round) throws Exception {
        List<Thread> clients = new ArrayList<>();
        AtomicInteger served = new AtomicInteger();
        for (int i = 0; i < UPLOADS; i++) {
            String id = instance.name + "-upload-" + round + "-" + i;
            Upload upload = KINDS.get(i % KINDS.size());
            clients.add(Thread.startVirtualThread(() -> upload(instance, id, upload, served)));
            Lab.pause(START_GAP_MS);
        }
        if (lab.trouble) {
            lab.log(instance.name, "freezes");
            signal("STOP", instance);
            Lab.pause(FREEZE_MS);
            signal("CONT", instance);
            lab.log(instance.name, "wakes");
        }
        for (Thread t : clients) {
            t.join();
        }
        lab.log("client", UPLOADS + " uploads to " + instance.name + ", served: " + served);
        Lab.pause(500);
        lab.log(instance.name, instance.metric("verbenatally_body_bytes"));
    }

    /** Sends a body in chunks, as fast as the client's link allows, and leaves at the deadline. */
    private void upload(Lab.Instance instance, String id, Upload upload, AtomicInteger served) {
        try (Lab.Client client = lab.new Client(instance, 0)) {
            long start = Lab.millis();
            Thread.startVirtualThread(() -> {
                Lab.pause(DEADLINE_MS);
                client.leave();
            });
            OutputStream out = client.socket.getOutputStream();
            out.write(("POST /book/x HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: " + DEADLINE_MS
                            + "\r\nAuthorization: Token " + Lab.KEY + "\r\nTransfer-Encoding: chunked\r\n\r\n")
                    .getBytes(StandardCharsets.US_ASCII));
            String chunk = Integer.toHexString(upload.chunkBytes()) + "\r\n" + "x".repeat(upload.chunkBytes()) + "\r\n";
            byte[] bytes = chunk.getBytes(StandardCharsets.US_ASCII);
            for (int sent = 0; sent < upload.bytes(); sent += upload.chunkBytes()) {
                out.write(bytes);
                Lab.pause(Math.max(0, start + sent * 1000L / upload.bytesPerSecond() - Lab.millis()));
            }
            out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            lab.log("client", "has sent " + id);
            Lab.Message answer = client.receive(DEADLINE_MS);
            if (answer != null && answer.status() == 200) {
                served.incrementAndGet();
            }
        } catch (IOException e) {
            lab.log("client", id + " -> has left at its deadline, or was refused while it was sending");
        }
    }

    private int sendMix(String phase, List<Lab.Instance> instances) throws IOException {
        int total = 0;
        for (Lab.Instance i : instances) {
            int guides = send(i, phase, GUIDES, "POST", "/guide/x", 39_120, Lab.tokens(3000, 748, "aa"), 3_000);
            int quotes = send(i, phase, QUOTES, "POST", "/guide/q", 6_016, Lab.tokens(2200, 12, "bb"), 2_900);
            int bookings = send(i, phase, BOOKINGS, "POST", "/book/x", 2_543, "", 600);
            int lookups = send(i, phase, LOOKUPS, "GET", "/look/x", 2_535, "", 0);
            lab.log("client", phase + ", " + i.name + ": served guides " + guides + " of " + GUIDES + ", quote checks " + quotes + " of "
                    + QUOTES + ", bookings " + bookings + " of " + BOOKINGS + ", lookups " + lookups + " of " + LOOKUPS);
            total += guides + quotes + bookings + lookups;
        }
        return total;
    }

    private int send(Lab.Instance instance, String phase, int count, String method, String path, int deadlineMs, String extra, int bytes)
            throws IOException {
        int served = 0;
        for (int n = 0; n < count; n++) {
            String id = phase + "-" + instance.name + path.replace('/', '-') + "-" + n;
            try (Lab.Client client = lab.new Client(instance, 0)) {
                client.send(method, path, id, deadlineMs, extra, bytes == 0 ? null : new byte[bytes]);
                Lab.Message answer = client.receive(deadlineMs);
                served += answer != null && answer.status() == 200 && answer.complete ? 1 : 0;
            }
        }
        return served;
    }
}
