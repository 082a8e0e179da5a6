import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;

/** A server answers a copy order a second time, late, on a connection that is in use again. */
final class Mixed {
    private static final int SHORT_REQUESTS = 60;
    private static final String ENDING = "guide-1";
    private static final String OTHER = "guide-2";
    private static final int EVENT_GAP_MS = 100;
    private static final int CUT_MS = 5_000;

    private final Lab lab;
    /** The generation of each copy, by handle. */
    private final Map<String, String> copies = new ConcurrentHashMap<>();
    private final Map<String, Integer> made = new ConcurrentHashMap<>();
    private final Map<String, Boolean> ended = new ConcurrentHashMap<>();
    private final Set<String> usedHandles = ConcurrentHashMap.newKeySet();
    private final List<String> foreign = new ArrayList<>();
    private final AtomicBoolean repeated = new AtomicBoolean();
    private volatile Lab.Line answered;
    private volatile String lastAnswer;
    /** Whether the generation that ends while it is copied has its last events. */
    private volatile boolean endsSoon;
    private final List<Long> servedAt = new ArrayList<>();
    private long repeatedAt;
    private int refused;

    private Mixed(Lab lab) {
        this.lab = lab;
    }

    public static void main(String[] args) {
        Lab.run(args, lab -> new Mixed(lab).run());
    }

    private boolean move(Lab.Server server, Lab.Message m, Lab.Line line) throws IOException {
        String id = m.text().replaceAll(".*\"Id\":\"([^\"]*)\".*", "$1");
        boolean again = line == answered && id.equals(OTHER) && lab.trouble && repeated.compareAndSet(false, true);
        lab.log(server.id, "is asked to copy " + id + " with " + m.text() + (line == answered ? ", on the connection of the first copy" : ""));
        if (again) {
            lab.log(server.id, "sends its answer for " + ENDING + " a second time, late");
            repeatedAt = Lab.millis();
            line.write(lastAnswer);
            Lab.pause(20);
        }
        if (id.equals(ENDING)) {
            endsSoon = true;
            while (!ended.containsKey(ENDING)) {
                Lab.pause(20);
            }
            Lab.pause(50);
            return copied(server, id, line);
        }
        if (answered == null || line != answered && refused < 30) {
            // Once the first copy is made, the connection is closed, which servers do now and then.
            boolean closes = answered != null;
            refused++;
            line.write("HTTP/1.1 503 X\r\nContent-Type: application/json\r\nContent-Length: 2\r\n" + (closes ? "Connection: close\r\n" : "")
                    + "\r\n{}");
            return !closes;
        }
        return copied(server, id, line);
    }

    private boolean copied(Lab.Server server, String id, Lab.Line line) throws IOException {
        String handle = "h" + (copies.size() + 1);
        copies.put(handle, id);
        String body = "{\"Handle\":\"" + handle + "\",\"Created\":" + made.getOrDefault(id, 0) + "}";
        String text = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
        lab.log(server.id, "has copied " + id + ": " + body);
        if (answered == null) {
            lastAnswer = text;
            answered = line;
        }
        line.write(text);
        return true;
    }

    private boolean serve(Lab.Server server, Lab.Message m, Lab.Line line) throws IOException {
        synchronized (this) {
            if (server.id.equals("i-pool1")) {
                servedAt.add(Lab.millis());
            }
        }
        if (m.first.startsWith("POST /v1/kv-move")) {
            return move(server, m, line);
        }
        String id = m.header("Attempt-Id");
        String from = m.header("Kv-From");
        String memory = id;
        int first = 1;
        if (from != null) {
            String handle = from.substring(from.indexOf('/') + 1);
            if (!copies.containsKey(handle) || !usedHandles.add(handle)) {
                lab.log(server.id, "has no copy " + from + " for " + id);
                line.write("HTTP/1.1 503 X\r\nAttempt-Id: " + id + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
                return true;
            }
            memory = copies.get(handle);
            first = m.header("Last-Event-Id") == null ? 1 : Integer.parseInt(m.header("Last-Event-Id")) + 1;
            lab.log(server.id, "goes on with " + id + " from event " + first + ", Kv-From " + from + ", the memory of " + memory);
            if (!memory.equals(id)) {
                foreign.add(id + " from the memory of " + memory);
            }
        } else if (id.startsWith("guide")) {
            lab.log(server.id, "runs " + id);
        }
        int last = id.equals(ENDING) ? 90 : id.equals(OTHER) ? 110 : 2;
        line.write(Lab.answerHead(200, m, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"));
        for (int i = first; i <= last; i++) {
            if (line.isClosed()) {
                lab.log(server.id, "stops " + id + " before event " + i);
                return false;
            }
            made.put(id, i);
            last = id.equals(ENDING) && endsSoon ? Math.min(last, i + 3) : last;
            line.chunk(Lab.event(memory, i));
            Lab.pause(id.startsWith("guide") ? EVENT_GAP_MS : 5);
        }
        line.write("0\r\n\r\n");
        if (id.startsWith("guide")) {
            lab.log(server.id, "has ended " + id);
            ended.put(id, true);
        }
        return true;
    }

    private int run() throws Exception {
        lab.configure(7, Lab.engine(34322, true, true));
        Lab.Server source = lab.new Server("i-pool1", "pool", this::serve);
        Lab.Server other = lab.new Server("i-pool2", "pool", this::serve);
        source.publish("ready");
        for (String name : List.of("i-desk1", "i-desk2", "i-desk3")) {
            lab.new Server(name, "desk", (server, m, line) -> false).publish("ready");
        }
        Lab.Instance one = lab.new Instance("front-1");
        one.start(lab.store.address(), List.of(one), 8);
        one.awaitReady();
        Lab.pause(300);
        List<Thread> readers = new ArrayList<>();
        Map<String, Lab.Message> answers = new ConcurrentHashMap<>();
        for (String id : List.of(ENDING, OTHER)) {
            readers.add(Thread.startVirtualThread(() -> {
                try (Lab.Client client = lab.new Client(one, 0)) {
                    client.send("POST", "/guide/x", id, 39000, Lab.tokens(3000, 472, id), "p".repeat(3000).getBytes());
                    Lab.Message m = client.receive(39_000);
                    if (m != null) {
                        answers.put(id, m);
                    }
                } catch (IOException e) {
                    lab.log("client", id + ": " + e);
                }
            }));
        }
        source.cutOff();
        long cut = Lab.millis();
        Lab.pause(1_000);
        for (int i = 0; i < SHORT_REQUESTS; i++) {
            try (Lab.Client c = lab.new Client(one, 0)) {
                c.send("POST", "/guide/q", "check-" + i, 6000, Lab.tokens(300, 8, "b" + i), "q".repeat(300).getBytes());
                c.receive(6000);
            }
        }
        Lab.pause(cut + 3 * Lab.HEARTBEAT_MS - 300 - Lab.millis());
        other.publish("ready");
        Lab.pause(cut + 3 * Lab.HEARTBEAT_MS - Lab.millis());
        lab.store.remove("servers/i-pool1");
        Lab.pause(cut + CUT_MS - Lab.millis());
        source.reach();
        source.publish("ready");
        for (Thread t : readers) {
            t.join();
        }
        if (copies.isEmpty()) {
            lab.log("check", "no generation was copied");
            return Lab.COULD_NOT_RUN;
        }
        if (lab.trouble && repeatedAt == 0) {
            lab.log("check", "no answer was sent a second time");
            return Lab.COULD_NOT_RUN;
        }
        if (lab.trouble) {
            lab.log("check", "requests that i-pool1 got in the 5 s before it sent one answer a second time: "
                    + servedAt.stream().filter(t -> t >= repeatedAt - 5_000 && t <= repeatedAt).count());
        }
        for (String id : List.of(ENDING, OTHER)) {
            Lab.Message m = answers.get(id);
            String text = m == null ? "" : m.text();
            long own = text.lines().filter(l -> l.startsWith("data: " + id)).count();
            long others = text.lines().filter(l -> l.startsWith("data: ")).count() - own;
            lab.log("client", id + " -> " + (m == null ? "closed" : m.first + ", complete " + m.complete) + ", events of its own: " + own
                    + ", of another request: " + others);
            if (others > 0) {
                foreign.add("the client of " + id + " got " + others + " events of another request");
            }
        }
        foreign.forEach(f -> lab.log("check", "went on wrongly: " + f));
        return foreign.isEmpty() ? Lab.HELD : Lab.BROKEN;
    }
}
