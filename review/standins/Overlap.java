import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;

/** An engine leaves; the one that goes on with a generation runs it, but its answer is lost. */
final class Overlap {
    private static final String GUIDE = "guide-1";
    private static final int EVENTS = 120;
    private static final int EVENT_GAP_MS = 50;
    /** Short requests that the engines answer meanwhile, of which no answer is lost. */
    private static final int SHORT_REQUESTS = 360;
    private static final int MAX_OVERLAP_MS = 400;

    /** When an engine worked on the guide. */
    private record Work(String server, long start, long[] end) {}

    private final Map<String, Integer> served = new ConcurrentHashMap<>();
    private final List<Work> works = new ArrayList<>();
    private final AtomicBoolean lost = new AtomicBoolean();
    private final Lab lab;

    private Overlap(Lab lab) {
        this.lab = lab;
    }

    public static void main(String[] args) {
        Lab.run(args, lab -> new Overlap(lab).run());
    }

    private boolean serve(Lab.Server server, Lab.Message m, Lab.Line line) throws IOException {
        String id = m.header("Attempt-Id");
        if (m.first.startsWith("POST /v1/kv-move")) {
            line.write("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        served.merge(server.id, 1, Integer::sum);
        String from = m.header("Kv-From");
        boolean guide = id.equals(GUIDE);
        int first = from == null || m.header("Last-Event-Id") == null ? 1 : Integer.parseInt(m.header("Last-Event-Id")) + 1;
        boolean loses = guide && from != null && lab.trouble && lost.compareAndSet(false, true);
        int last = guide ? EVENTS : 3;
        int gap = guide ? EVENT_GAP_MS : 5;
        Work work = null;
        if (guide) {
            lab.log(server.id, "runs " + id + " from event " + first + (from == null ? "" : ", Kv-From " + from)
                    + (m.header("Kv-Backup") == null ? "" : ", Kv-Backup " + m.header("Kv-Backup"))
                    + (loses ? "; its answer is lost" : ""));
            work = new Work(server.id, Lab.millis(), new long[] {Lab.millis()});
            synchronized (works) {
                works.add(work);
            }
        }
        try {
            if (!loses) {
                line.write(Lab.answerHead(200, m, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"));
            }
            for (int i = first; i <= last; i++) {
                if (line.isClosed()) {
                    return false;
                }
                if (work != null) {
                    work.end()[0] = Lab.millis();
                }
                if (!loses) {
                    line.chunk(Lab.event(id, i));
                }
                Lab.pause(gap);
            }
            if (!loses) {
                line.write("0\r\n\r\n");
            }
            return !loses;
        } finally {
            if (guide) {
                lab.log(server.id, "works no more on " + id);
            }
        }
    }

    private int run() throws Exception {
        lab.configure(7, Lab.engine(34322, true, true));
        Map<String, Lab.Server> engines = new ConcurrentHashMap<>();
        for (String name : List.of("i-pool1", "i-pool2", "i-pool3")) {
            Lab.Server engine = lab.new Server(name, "pool", this::serve);
            engines.put(name, engine);
            engine.publish("ready");
        }
        Lab.Instance one = lab.new Instance("front-1");
        one.start(lab.store.address(), List.of(one), 8);
        one.awaitReady();
        Lab.pause(500);
        long windowStart = Lab.millis();
        List<Thread> clients = new ArrayList<>();
        for (int c = 0; c < 6; c++) {
            int n = c;
            clients.add(Thread.startVirtualThread(() -> sendShort(one, n)));
        }
        Lab.Message[] answer = new Lab.Message[1];
        try (Lab.Client client = lab.new Client(one, 0)) {
            client.send("POST", "/guide/x", GUIDE, 39000, Lab.tokens(3000, EVENTS * 4, "aa"), "p".repeat(3000).getBytes());
            Thread reader = Thread.startVirtualThread(() -> {
                try {
                    answer[0] = client.receive(39_000);
                } catch (IOException e) {
                    lab.log("client", GUIDE + ": " + e);
                }
            });
            Lab.pause(2_500);
            String source;
            synchronized (works) {
                source = works.getFirst().server();
            }
            engines.get(source).publish("draining");
            reader.join();
        }
        for (Thread t : clients) {
            t.join();
        }
        lab.log("client", GUIDE + " -> " + (answer[0] == null ? "closed" : answer[0].first + ", complete " + answer[0].complete
                + ", in order " + inOrder(answer[0].text())));
        lab.log("check", "requests run by each engine, of which one answer was lost at most: " + served + ", in "
                + (Lab.millis() - windowStart) + " ms");
        int result = Lab.HELD;
        if (works.size() < 2) {
            lab.log("check", "no engine went on with the guide");
            return Lab.COULD_NOT_RUN;
        }
        for (int i = 1; i < works.size(); i++) {
            long overlap = Math.min(works.get(i - 1).end()[0], works.get(i).end()[0]) - works.get(i).start();
            lab.log("check", works.get(i).server() + " went on with " + GUIDE + "; " + works.get(i - 1).server()
                    + " worked on it too for another " + overlap + " ms; allowed: " + MAX_OVERLAP_MS);
            result = overlap > MAX_OVERLAP_MS ? Lab.BROKEN : result;
        }
        return result;
    }

    private static boolean inOrder(String text) {
        StringBuilder expected = new StringBuilder();
        for (int i = 1; i <= EVENTS; i++) {
            expected.append(Lab.event(GUIDE, i));
        }
        return text.contentEquals(expected);
    }

    private void sendShort(Lab.Instance instance, int client) {
        for (int i = 0; i < SHORT_REQUESTS / 6; i++) {
            String id = "check-" + client + "-" + i;
            try (Lab.Client c = lab.new Client(instance, 0)) {
                c.send("POST", "/guide/q", id, 6000, Lab.tokens(300, 12, "b" + client + i), "q".repeat(300).getBytes());
                c.receive(6000);
            } catch (IOException e) {
                lab.log("client", id + ": " + e);
            }
            Lab.pause(30);
        }
    }
}
