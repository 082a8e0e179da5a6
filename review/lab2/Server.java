import java.io.IOException;
import java.io.OutputStream;
import java.io.PushbackInputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Semaphore;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A model server (SERVICE "pool") or a plain server as the users' pages describe them. It says who it is with a new id
 * at each start, answers 421 to what another server was to get and 503 with Not-Executed when it is full, keeps copies
 * of runs, and drops a request when its connection closes, unless it is one of those that do not.
 */
final class Server {
    private static final int HEARTBEAT_MS = 1_200;
    private static final double TOKENS_PER_MS = 14;
    private static final long HANDLE_MS = 5_000;
    private static final Pattern EVENTS = Pattern.compile("events=(\\d+)");
    private static final Pattern WORK = Pattern.compile("work=(\\d+)");
    private static final Pattern LAST = Pattern.compile("\"Last\"\\s*:\\s*(true|1)");
    private static final Pattern FIELD = Pattern.compile("\"(Id|Target)\"\\s*:\\s*\"([^\"]*)\"");
    private static final Map<String, Server> BY_ADDRESS = new ConcurrentHashMap<>();
    private static final AtomicLong HANDLES = new AtomicLong();

    /** One run of a request, with the time of each step of its work. */
    static final class Run {
        final String request;
        final String server;
        final long start = Record.now();
        final List<Long> steps = new CopyOnWriteArrayList<>();
        volatile String end = "";
        volatile int events;
        /** Whether a call of {@code /v1/kv-move} with {@code Last} has stopped it. */
        volatile boolean stopped;

        Run(String request, String server) {
            this.request = request;
            this.server = server;
        }
    }

    /** All runs at all servers of this process. */
    static final List<Run> RUNS = new CopyOnWriteArrayList<>();

    /** A request that has reached a server, whether or not it ran. */
    record Arrival(long at, String server, String request, String parts, int attempt) {}

    static final List<Arrival> ARRIVALS = new CopyOnWriteArrayList<>();
    static final List<Long> CRASHES = new CopyOnWriteArrayList<>();
    private static final Map<String, AtomicInteger> SENT = new ConcurrentHashMap<>();

    private final String service;
    private final String host;
    private final int port;
    private final int slots;
    private final Store store;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final Map<String, Long> copies = new ConcurrentHashMap<>();
    private final Map<String, Run> runs = new ConcurrentHashMap<>();
    private volatile String id;
    private volatile long born;
    private volatile boolean up;
    private volatile boolean draining;
    private ServerSocket listener;
    private int sequence;

    /** Whether it drops a request when its connection closes, as most servers do. */
    volatile boolean drops = true;
    /** Whether its answers have a length or come in chunks; otherwise they end with their connection. */
    volatile boolean framed = true;
    /** Part of a prompt that crashes it when it begins to write an answer. */
    volatile String poison = "";

    /** Requests beyond its slots that wait for one. */
    volatile int queue;
    /** If not 0, it falls over once it has to turn away more than this many requests in a second. */
    volatile int brittle;

    /** Since when it may lose answers, -1: not at all. It loses one of forty at most, of requests that go on here. */
    private volatile long losesFrom = -1;

    private static final int LOSS_MS = 5_500;
    private static final int ONE_OF = 40;
    private final AtomicInteger ran = new AtomicInteger();
    final AtomicInteger lost = new AtomicInteger();

    private final Deque<Long> rejected = new ArrayDeque<>();
    private final Semaphore places;

    volatile long downMs = 4_000;
    volatile int eventMs = 30;

    Server(Store store, String service, String host, int port, int slots) {
        this.store = store;
        this.service = service;
        this.host = host;
        this.port = port;
        this.slots = slots;
        this.places = new Semaphore(slots);
    }

    String address() {
        return host + ":" + port;
    }

    String id() {
        return id;
    }

    void start() throws IOException {
        start("i-%08x".formatted(ThreadLocalRandom.current().nextInt()));
    }

    synchronized void start(String newId) throws IOException {
        id = newId;
        born = System.currentTimeMillis();
        listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(host, port), 256);
        up = true;
        BY_ADDRESS.put(address(), this);
        Record.log("server %s of %s listens on %s, drops on close: %s, framed: %s", id, service, address(), drops,
                framed);
        ServerSocket own = listener;
        Thread.ofVirtual().start(() -> {
            while (true) {
                try {
                    Socket socket = own.accept();
                    Thread.ofVirtual().start(() -> serve(socket));
                } catch (IOException e) {
                    return;
                }
            }
        });
        if (store != null) {
            Thread.ofVirtual().start(() -> beat(newId));
        }
    }

    private void beat(String ownId) {
        while (up && ownId.equals(id)) {
            register();
            pause(HEARTBEAT_MS);
        }
        pause(3 * HEARTBEAT_MS);
        store.delete("servers/" + ownId);
    }

    synchronized void register() {
        if (up) {
            store.put("servers/" + id, entry(service, address(), slots, draining, ++sequence, id, born));
        }
    }

    static String entry(
            String service, String address, int slots, boolean draining, int sequence, String id, long born) {
        return """
                {"Service":"%s","Address":"%s","Zone":"%s","Version":"v1","BatchSlots":%d,"State":"%s",\
                "ColdLeftMs":0,"Stage":"unified","Models":[{"Name":"m","Version":1,"Adapters":[]}],\
                "Sequence":%d,"born":%d}"""
                .formatted(service, address, Instances.ZONE, slots, draining ? "draining" : "ready", sequence, born);
    }

    /** Says that it leaves, serves on for some time, and then ends. */
    void drain(long serveMs) {
        draining = true;
        register();
        Record.say("server %s is draining (the store has accepted it)", id);
        Thread.ofVirtual().start(() -> {
            pause(serveMs);
            Record.log("server %s ends after its drain", id);
            store.delete("servers/" + id);
            stop();
        });
    }

    private synchronized void stop() {
        up = false;
        sequence = 0;
        try {
            listener.close();
        } catch (IOException e) {
            // It is closed.
        }
        for (Socket socket : sockets) {
            try {
                socket.setSoLinger(true, 0);
            } catch (IOException e) {
                // It is closed.
            }
            Http.closeQuietly(socket);
        }
        copies.clear();
    }

    /** Ends at once; a new incarnation with a new id is back some seconds later. */
    private void crash(String request) {
        synchronized (this) {
            if (!up) {
                return;
            }
            CRASHES.add(Record.now());
            Record.log("CRASH of server %s by request %s, which lost %d other runs", id, request,
                    runs.size() - (runs.containsKey(request) ? 1 : 0));
            stop();
        }
        Thread.ofVirtual().start(() -> {
            pause(downMs);
            try {
                start();
            } catch (IOException e) {
                Record.log("server on port %d cannot start again: %s", port, e);
            }
        });
    }

    /** Begins to lose answers. */
    void loseAnswers() {
        ran.set(0);
        losesFrom = Record.now();
    }

    int ran() {
        return ran.get();
    }

    private synchronized boolean loses(boolean continues) {
        if (losesFrom < 0 || Record.now() - losesFrom > LOSS_MS) {
            return false;
        }
        int count = ran.incrementAndGet();
        boolean now = continues && count >= ONE_OF * (lost.get() + 1);
        if (now) {
            lost.incrementAndGet();
        }
        return now;
    }

    static void pause(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void serve(Socket socket) {
        sockets.add(socket);
        try (socket) {
            socket.setTcpNoDelay(true);
            PushbackInputStream in = new PushbackInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Http.Head head = Http.head(in); head != null; head = Http.head(in)) {
                byte[] body = Http.body(in, head);
                if (!handle(head, new String(body, StandardCharsets.ISO_8859_1), in, out, socket)) {
                    return;
                }
            }
        } catch (IOException e) {
            // The connection has ended.
        } finally {
            sockets.remove(socket);
        }
    }

    /** Serves one request; returns whether the connection is kept. */
    private boolean handle(Http.Head head, String body, PushbackInputStream in, OutputStream out, Socket socket)
            throws IOException {
        if (head.path().equals("/v1/kv-move")) {
            move(body, out);
            return false;
        }
        if (head.path().equals("/healthz")) {
            Http.respond(out, draining ? "503 Service Unavailable" : "200 OK", "Instance-Id: " + id + "\r\n", "");
            return true;
        }
        String request = head.get("Attempt-Id");
        String common = "Attempt-Id: " + request + "\r\n" + (draining ? "Server-Leaving: 1\r\nConnection: close\r\n" : "")
                + (brittle > 0 ? "Server-Brittle: " + brittle + "\r\n" : "");
        if (!id.equals(head.get("Expect-Instance"))) {
            Http.respond(out, "421 Misdirected Request", common + "Instance-Id: " + id + "\r\n", "");
            return true;
        }
        int sends = SENT.computeIfAbsent(request, r -> new AtomicInteger()).incrementAndGet();
        ARRIVALS.add(new Arrival(Record.now(), id, request, String.valueOf(head.get("Prompt-Prefix")), sends));
        Record.log("arrival server=%s request=%s kv-from=%s kv-backup=%s last-event=%s deadline=%s", id, request,
                head.get("Kv-From"), head.get("Kv-Backup"), head.get("Last-Event-Id"), head.get("Deadline-Ms"));
        String from = head.get("Kv-From");
        if (from != null) {
            Long kept = copies.remove(from.substring(from.indexOf('/') + 1));
            if (kept == null || Record.now() - kept > HANDLE_MS) {
                Http.respond(out, "503 Service Unavailable", common + "Not-Executed: 1\r\n", "");
                return true;
            }
        }
        if (runs.size() >= slots + queue && from == null) {
            Record.log("rejected server=%s request=%s", id, request);
            Http.respond(out, "503 Service Unavailable", common + "Not-Executed: 1\r\n", "");
            if (brittle > 0 && rejectedInASecond() > brittle) {
                crash(request);
                throw new IOException("fell over");
            }
            return true;
        }
        Run run = new Run(request, id);
        run.events = number(EVENTS, body, 0);
        runs.put(request, run);
        RUNS.add(run);
        Http.Watch watch = new Http.Watch(in, () -> {});
        try {
            if (run.events > 0) {
                generate(head, run, from != null, common, out, watch, socket);
            } else {
                call(number(WORK, body, 30), run, common, out, socket);
            }
        } finally {
            runs.remove(request);
            Record.log("run ended server=%s request=%s started=%d steps=%d last=%d %s", id, request, run.start,
                    run.steps.size(), run.steps.isEmpty() ? -1 : run.steps.getLast(), run.end);
        }
        if (!framed || draining || watch.closed) {
            return false;
        }
        watch.join();
        return true;
    }

    private synchronized int rejectedInASecond() {
        long now = Record.now();
        rejected.addLast(now);
        while (rejected.peekFirst() < now - 1_000) {
            rejected.removeFirst();
        }
        return rejected.size();
    }

    private static int number(Pattern pattern, String text, int absent) {
        Matcher m = pattern.matcher(text);
        return m.find() ? Integer.parseInt(m.group(1)) : absent;
    }

    private String stamp(String request) {
        return "Server-Stamp: " + id + "." + request + "\r\n";
    }

    private void call(int workMs, Run run, String common, OutputStream out, Socket socket) throws IOException {
        places.acquireUninterruptibly();
        try {
            pause(workMs);
        } finally {
            places.release();
        }
        if (!up) {
            run.end = "lost with its server";
            throw new IOException("server has ended");
        }
        run.steps.add(Record.now());
        String body = "answer to " + run.request;
        if (framed) {
            Http.respond(out, "200 OK", common + stamp(run.request), body);
        } else {
            Http.write(out, "HTTP/1.1 200 OK\r\n" + common + stamp(run.request) + "\r\n" + body);
            Http.closeQuietly(socket);
        }
        run.end = "complete";
    }

    private void generate(
            Http.Head head, Run run, boolean continues, String common, OutputStream out, Http.Watch watch, Socket socket)
            throws IOException {
        String tokens = head.get("Token-Count");
        if (!continues && tokens != null) {
            pause((long) (Integer.parseInt(tokens.split(",")[0]) / TOKENS_PER_MS));
        }
        if (watch.closed && drops) {
            run.end = "dropped";
            return;
        }
        String parts = head.get("Prompt-Prefix");
        if (!poison.isEmpty() && parts != null && parts.contains(poison + ":")) {
            run.end = "crashed its server";
            crash(run.request);
            throw new IOException("crashed");
        }
        String last = head.get("Last-Event-Id");
        int first = continues && last != null ? Integer.parseInt(last) + 1 : 1;
        boolean writes = true;
        boolean mute = loses(continues);
        if (mute) {
            Record.log("LOST ANSWER server=%s request=%s, one of %d", id, run.request, ran.get());
        }
        try {
            if (!mute) {
                Http.write(out, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + common
                        + stamp(run.request) + (framed ? "Transfer-Encoding: chunked\r\n" : "") + "\r\n");
            }
        } catch (IOException e) {
            writes = false;
        }
        String backup = head.get("Kv-Backup");
        for (int i = first; i <= run.events && up; i++) {
            if (run.stopped) {
                run.end = "stopped";
                throw new IOException("stopped by a last move");
            }
            if (watch.closed || !writes) {
                writes = false;
                if (drops) {
                    run.end = "dropped";
                    return;
                }
            }
            run.steps.add(Record.now());
            if (backup != null) {
                Server other = BY_ADDRESS.get(backup);
                if (other != null && other.up) {
                    other.copies.put(run.request, Record.now());
                }
            }
            if (writes && !mute) {
                String event = "id: " + i + "\ndata: " + run.request + " " + i + "\n\n";
                try {
                    if (framed) {
                        Http.writeChunk(out, event);
                    } else {
                        Http.write(out, event);
                    }
                } catch (IOException e) {
                    writes = false;
                }
            }
            pause(eventMs);
        }
        if (!up) {
            run.end = "ended with its server";
            throw new IOException("server has ended");
        }
        run.end = mute ? "complete, its answer lost" : writes ? "complete" : "complete, but nobody read its end";
        if (!writes) {
            throw new IOException("caller has left");
        }
        if (backup != null && BY_ADDRESS.get(backup) != null) {
            BY_ADDRESS.get(backup).copies.remove(run.request);
        }
        if (mute) {
            throw new IOException("answer lost");
        }
        if (framed) {
            Http.write(out, "0\r\n\r\n");
        } else {
            Http.closeQuietly(socket);
        }
    }

    /** Copies a run to another server while it goes on. */
    private void move(String body, OutputStream out) throws IOException {
        String request = "";
        String target = "";
        Matcher m = FIELD.matcher(body);
        while (m.find()) {
            if (m.group(1).equals("Id")) {
                request = m.group(2);
            } else {
                target = m.group(2);
            }
        }
        Run run = runs.get(request);
        Server other = BY_ADDRESS.get(target);
        Record.log("kv-move server=%s request=%s target=%s found=%s last=%s", id, request, target, run != null,
                body.contains("Last"));
        if (run == null) {
            Http.respond(out, "404 Not Found", "Connection: close\r\n", "{}");
            return;
        }
        if (other == null || !other.up) {
            Http.respond(out, "503 Service Unavailable", "Connection: close\r\n", "{}");
            return;
        }
        run.stopped |= LAST.matcher(body).find();
        pause(100);
        String handle = "h" + HANDLES.incrementAndGet();
        other.copies.put(handle, Record.now());
        Http.respond(out, "200 OK", "Content-Type: application/json\r\nConnection: close\r\n",
                "{\"Handle\":\"" + handle + "\",\"Created\":" + run.steps.size() + "}");
    }

    static List<Server> several(Store store, String service, int count, int slots) throws IOException {
        List<Server> servers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            servers.add(new Server(store, service, "127.0.73." + (i + 1), freePort("127.0.73." + (i + 1)), slots));
        }
        return servers;
    }

    static int freePort(String host) throws IOException {
        try (ServerSocket s = new ServerSocket()) {
            s.bind(new InetSocketAddress(host, 0));
            return s.getLocalPort();
        }
    }
}
