import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Bookings wait in the queue of a full server, which refuses them at their deadline. One of the refusals comes a second time,
 * late, on a connection that is in use again.
 */
final class Twice {
    /** The server that is full now and then; its places are taken by requests of other instances. */
    private static final String FULL = "i-desk1";
    private static final int SERVERS = 3;
    /** Requests that wait at a full server at most. */
    private static final int QUEUE = 24;
    private static final int CLIENTS = 60;
    private static final int WORK_MS = 43;
    private static final int DEADLINE_MS = 2_500;
    private static final int CYCLES = 6;
    /** Connections to servers that are idle for so long have been closed. */
    private static final int QUIET_MS = 3_600;
    /** A little longer than the route's TimeoutMs, 1,200, with which the instance sends the bookings. */
    private static final int FULL_MS = 1_300;
    private static final int BUSY_MS = 1_000;
    /** The largest x of the site, 0.03, allows one repeated answer among so many. */
    private static final int ANSWERS_PER_REPEAT = 34;
    /** As "fleetbench wire" shows the answer of a server that sheds. */
    private static final String REFUSAL = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";

    private final Lab lab;
    /** The servers that ran each booking. */
    private final Map<String, List<String>> runs = new ConcurrentHashMap<>();
    /** The booking that was refused last on a connection. */
    private final Map<Lab.Line, String> refused = new ConcurrentHashMap<>();
    private final AtomicInteger waiting = new AtomicInteger();
    private volatile boolean full;
    private volatile boolean quiet = true;
    private volatile boolean done;
    private int answers;
    /** The booking that ran in the present busy time while a refusal was repeated; null if none did. */
    private String disturbed;
    private boolean mayRepeat;

    private Twice(Lab lab) {
        this.lab = lab;
    }

    public static void main(String[] args) {
        Lab.run(args, lab -> new Twice(lab).run());
    }

    private boolean serve(Lab.Server server, Lab.Message m, Lab.Line line) throws IOException {
        String id = m.header("Attempt-Id");
        if (full && server.id.equals(FULL) && !awaitPlace(Integer.parseInt(m.header("Deadline-Ms")))) {
            lab.log(server.id, "refuses " + id);
            countAnswer(server);
            line.write(REFUSAL);
            refused.put(line, id);
            return true;
        }
        runs.computeIfAbsent(id, i -> new ArrayList<>()).add(server.id);
        lab.log(server.id, "runs " + id);
        String before = refused.remove(line);
        if (before != null && tryRepeat(id)) {
            lab.log(server.id, "sends its refusal of " + before + " a second time, late, while it runs " + id);
            line.write(REFUSAL);
        }
        Lab.pause(WORK_MS);
        countAnswer(server);
        line.write(Lab.answerHead(200, m, "Content-Length: 2\r\n") + "ok");
        return true;
    }

    /** Waits in the queue of the full server; returns whether there was a place before the deadline. */
    private boolean awaitPlace(int deadlineMs) {
        if (waiting.incrementAndGet() > QUEUE) {
            waiting.decrementAndGet();
            return false;
        }
        long end = System.nanoTime() + deadlineMs * 1_000_000L;
        while (full && System.nanoTime() < end) {
            java.util.concurrent.locks.LockSupport.parkNanos(Math.min(5_000_000L, Math.max(1, end - System.nanoTime())));
        }
        waiting.decrementAndGet();
        return System.nanoTime() < end;
    }

    private synchronized void countAnswer(Lab.Server server) {
        answers += server.id.equals(FULL) ? 1 : 0;
    }

    /** Returns whether an answer may be repeated: one in each busy time, all of which are shorter than 5 s. */
    private synchronized boolean tryRepeat(String id) {
        boolean may = lab.trouble && mayRepeat;
        mayRepeat = false;
        disturbed = may ? id : disturbed;
        return may;
    }

    private int run() throws Exception {
        lab.configure(7, Lab.engine(34322, true, true));
        for (int i = 1; i <= SERVERS; i++) {
            lab.new Server("i-desk" + i, "desk", this::serve).publish("ready");
        }
        Lab.Instance one = lab.new Instance("front-1");
        one.start(lab.store.address(), List.of(one), 8);
        one.awaitReady();
        List<Thread> clients = new ArrayList<>();
        for (int c = 0; c < CLIENTS; c++) {
            String name = "booking-" + c;
            clients.add(Thread.startVirtualThread(() -> {
                for (int n = 0; !done; n++) {
                    while (quiet && !done) {
                        Lab.pause(5);
                    }
                    book(one, name + "-" + n);
                }
            }));
        }
        List<String> beyondDose = new ArrayList<>();
        for (int i = 0; i < CYCLES; i++) {
            Lab.pause(QUIET_MS);
            int before = answers;
            disturbed = null;
            mayRepeat = true;
            full = true;
            quiet = false;
            Lab.pause(FULL_MS);
            full = false;
            Lab.pause(BUSY_MS);
            quiet = true;
            int given = answers - before;
            lab.log("check", FULL + " gave " + given + " answers in this busy time"
                    + (disturbed == null ? "" : ", one of them a second time, while it ran " + disturbed));
            if (disturbed != null && given < ANSWERS_PER_REPEAT) {
                lab.log("check", "these were too few for a repeated one; it is left out of account");
                beyondDose.add(disturbed);
            }
        }
        done = true;
        for (Thread t : clients) {
            t.join();
        }
        List<String> twice = new ArrayList<>();
        runs.forEach((id, servers) -> {
            if (servers.size() > 1 && !beyondDose.contains(id)) {
                twice.add(id + " at " + servers);
            }
        });
        lab.log("check", "bookings that ran more than once: " + twice.size() + " of " + runs.size() + " " + twice);
        return twice.isEmpty() ? Lab.HELD : Lab.BROKEN;
    }

    private void book(Lab.Instance instance, String id) {
        try (Lab.Client client = lab.new Client(instance, 0)) {
            client.send("POST", "/book/x", id, DEADLINE_MS, "", "slab".getBytes());
            client.receive(2 * DEADLINE_MS);
        } catch (IOException e) {
            lab.log("client", id + " -> " + e);
            Lab.pause(50);
        }
    }
}
