import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** One of eight servers runs bookings and fails part of them with a 503 that does not state that they have not run. */
final class Refused {
    private static final Set<Integer> NOT_RUN = Set.of(408, 421, 429, 503);
    private static final String GREY = "i-desk1";
    private static final int SERVERS = 8;
    private static final int CLIENTS = 8;
    private static final int TROUBLE_MS = 6_500;
    /** Share of its requests that the grey server fails, in percent. */
    private static final int FAILED_PERCENT = 45;
    private static final int PERCENT = 100;
    private static final int WORK_MS = 43;

    private final Lab lab;
    /** Runs of each attempt, by its id, and of each booking, which its body names. */
    private final Map<String, Integer> runs = new ConcurrentHashMap<>();
    private final Map<String, Integer> bookings = new ConcurrentHashMap<>();
    private final List<String> broken = new ArrayList<>();
    private int greyRuns;
    private int greyFailures;

    private Refused(Lab lab) {
        this.lab = lab;
    }

    public static void main(String[] args) {
        Lab.run(args, lab -> new Refused(lab).run());
    }

    private boolean serve(Lab.Server server, Lab.Message m, Lab.Line line) throws java.io.IOException {
        String id = m.header("Attempt-Id");
        runs.merge(id, 1, Integer::sum);
        bookings.merge(m.text(), 1, Integer::sum);
        Lab.pause(WORK_MS);
        boolean fails = false;
        synchronized (this) {
            if (lab.trouble && server.id.equals(GREY)) {
                greyRuns++;
                fails = greyFailures + 1 <= greyRuns * FAILED_PERCENT / PERCENT;
                greyFailures += fails ? 1 : 0;
            }
        }
        lab.log(server.id, "has run " + id + ", " + m.text() + (fails ? "; answers 503 without Not-Executed" : ""));
        line.write(fails
                ? Lab.answerHead(503, m, "Content-Length: 0\r\n")
                : Lab.answerHead(200, m, "Content-Length: " + id.length() + "\r\n") + id);
        return true;
    }

    private int run() throws Exception {
        lab.configure(7, Lab.engine(34322, true, true));
        for (int i = 1; i <= SERVERS; i++) {
            lab.new Server("i-desk" + i, "desk", this::serve).publish("ready");
        }
        Lab.Instance one = lab.new Instance("front-1");
        one.start(lab.store.address(), List.of(one), 8);
        one.awaitReady();
        long end = Lab.millis() + TROUBLE_MS;
        List<Thread> clients = new ArrayList<>();
        for (int c = 0; c < CLIENTS; c++) {
            String name = "client-" + c;
            clients.add(Thread.startVirtualThread(() -> {
                for (int n = 0; Lab.millis() < end; n++) {
                    book(one, name, "slab " + name + "/" + n);
                    Lab.pause(100);
                }
            }));
        }
        for (Thread t : clients) {
            t.join();
        }
        lab.log("check", GREY + " has run " + greyRuns + " requests and failed " + greyFailures);
        broken.forEach(b -> lab.log("check", b));
        lab.log("check", broken.size() + " attempts were answered as not run and had run; bookings that ran twice: "
                + bookings.values().stream().filter(n -> n > 1).count() + " of " + bookings.size());
        return broken.isEmpty() ? Lab.HELD : Lab.BROKEN;
    }

    /** Sends a booking, and sends it once more if it is said not to have run. */
    private void book(Lab.Instance instance, String name, String slab) {
        for (int attempt = 1; attempt <= 2; attempt++) {
            String id = slab.replace(' ', '-').replace('/', '-') + "-" + attempt;
            try (Lab.Client client = lab.new Client(instance, 0)) {
                client.send("POST", "/book/x", id, 2_500, "", slab.getBytes());
                Lab.Message answer = client.receive(4_000);
                if (answer == null || !NOT_RUN.contains(answer.status())) {
                    return;
                }
                if (runs.containsKey(id)) {
                    synchronized (broken) {
                        broken.add(id + " was answered " + answer.status() + " and had run");
                    }
                }
            } catch (java.io.IOException e) {
                lab.log(name, id + " -> " + e);
                return;
            }
            Lab.pause(100);
        }
    }
}
