import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/**
 * Stand-ins that the cases share: the platform's store, servers, clients, and the instances, which are real processes
 * started with the command of the deploy file. All addresses are loopback addresses.
 */
final class Lab implements Closeable {
    static final int HELD = 0;
    /** Not 1, with which a Java process also ends after an error. */
    static final int BROKEN = 10;
    static final int COULD_NOT_RUN = 2;
    static final String HOST = "127.0.0.1";
    static final String KEY = "key-one";
    static final int HEARTBEAT_MS = 1_200;
    private static final long START = System.nanoTime();

    private final PrintWriter record;
    private final Path temp;
    private final Path root;
    private final List<Closeable> open = new CopyOnWriteArrayList<>();
    private final List<Instance> instances = new CopyOnWriteArrayList<>();
    final Store store;
    /** False if the case runs without its disruption. */
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    Lab(Path folder) throws IOException {
        root = Path.of(System.getProperty("root"));
        record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
        temp = Files.createTempDirectory("review");
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        store = new Store();
        log("trouble", trouble ? "yes" : "no");
    }

    /** Runs a case in the folder that the first argument names, and ends the process with its result. */
    static void run(String[] args, Case body) {
        int result = COULD_NOT_RUN;
        try {
            Lab lab = new Lab(Path.of(args[0]));
            Thread.startVirtualThread(() -> {
                pause(110_000);
                lab.log("result", "the case took too long");
                Runtime.getRuntime().exit(COULD_NOT_RUN);
            });
            try {
                result = body.run(lab);
            } catch (Throwable e) {
                result = COULD_NOT_RUN;
                lab.log("result", "could not run: " + e);
                e.printStackTrace();
            }
            lab.log("result", result == BROKEN ? "BROKEN" : result == HELD ? "held" : "could not run");
        } catch (IOException e) {
            e.printStackTrace();
        }
        System.exit(result);
    }

    interface Case {
        int run(Lab lab) throws Exception;
    }

    static long millis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - START);
    }

    static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    synchronized void log(String who, String what) {
        record.printf("%7d ms  %-12s %s%n", millis(), who, what);
        System.out.printf("%7d ms  %-12s %s%n", millis(), who, what);
    }

    @Override
    public void close() {
        instances.forEach(Instance::kill);
        for (Closeable c : open) {
            try {
                c.close();
            } catch (IOException e) {
                // The process ends in any case.
            }
        }
        try (var files = Files.walk(temp)) {
            files.sorted((a, b) -> b.compareTo(a)).forEach(p -> p.toFile().delete());
        } catch (IOException e) {
            // Nothing was left to delete.
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            return s.getLocalPort();
        }
    }

    // ---------------------------------------------------------------- messages

    /** Head and body of a request or an answer. */
    static final class Message {
        String first;
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];
        boolean complete;

        String header(String name) {
            return headers.get(name);
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int b = in.read();
        if (b < 0) {
            return null;
        }
        while (b >= 0 && b != '\n') {
            if (b != '\r') {
                line.write(b);
            }
            b = in.read();
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads a head; null at the end of the connection. */
    static Message head(InputStream in) throws IOException {
        Message m = new Message();
        m.first = line(in);
        if (m.first == null) {
            return null;
        }
        for (String l = line(in); l != null && !l.isEmpty(); l = line(in)) {
            int colon = l.indexOf(':');
            m.headers.put(l.substring(0, colon).strip(), l.substring(colon + 1).strip());
        }
        return m;
    }

    /** Reads the body of a message that states its length or is sent in chunks, or that ends with its connection. */
    static void body(InputStream in, Message m, boolean answer) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try {
            if ("chunked".equalsIgnoreCase(m.header("Transfer-Encoding"))) {
                while (true) {
                    String size = line(in);
                    if (size == null || size.isEmpty()) {
                        return;
                    }
                    int n = Integer.parseInt(size.strip(), 16);
                    byte[] chunk = in.readNBytes(n);
                    body.write(chunk);
                    if (chunk.length < n) {
                        return;
                    }
                    String end = line(in);
                    if (end == null) {
                        return;
                    }
                    if (n == 0) {
                        m.complete = true;
                        return;
                    }
                }
            } else if (m.header("Content-Length") != null) {
                int n = Integer.parseInt(m.header("Content-Length"));
                body.write(in.readNBytes(n));
                m.complete = body.size() == n;
            } else if (answer) {
                in.transferTo(body);
                m.complete = true;
            } else {
                m.complete = true;
            }
        } finally {
            m.body = body.toByteArray();
        }
    }

    // ---------------------------------------------------------------- listeners

    interface Connection {
        void serve(Socket socket) throws IOException;
    }

    ServerSocket listen(Connection connection) throws IOException {
        ServerSocket server = new ServerSocket();
        server.bind(new InetSocketAddress(HOST, 0), 200);
        open.add(server);
        Thread.startVirtualThread(() -> {
            while (!server.isClosed()) {
                try {
                    Socket socket = server.accept();
                    socket.setTcpNoDelay(true);
                    Thread.startVirtualThread(() -> {
                        try (socket) {
                            connection.serve(socket);
                        } catch (IOException e) {
                            // The peer has closed the connection.
                        }
                    });
                } catch (IOException e) {
                    return;
                }
            }
        });
        return server;
    }

    // ---------------------------------------------------------------- store

    /** The platform's store: items, ranges and watches. */
    final class Store {
        private final TreeMap<String, String> items = new TreeMap<>();
        private final Map<String, Long> revisions = new ConcurrentHashMap<>();
        private final ServerSocket server = listen(this::serve);
        private long revision = 10;
        /** Whether calls get no answer. */
        volatile boolean silent;

        Store() throws IOException {}

        String address() {
            return HOST + ":" + server.getLocalPort();
        }

        synchronized void put(String key, String value) {
            revision++;
            items.put(key, value);
            revisions.put(key, revision);
            log("store", "put " + key + " rev " + revision + " " + value);
            notifyAll();
        }

        /** Writes a key again without a line in the record. */
        synchronized void refresh(String key, String value) {
            if (items.containsKey(key)) {
                revision++;
                items.put(key, value);
                revisions.put(key, revision);
                notifyAll();
            }
        }

        synchronized void remove(String key) {
            revision++;
            items.remove(key);
            log("store", "remove " + key + " rev " + revision);
            notifyAll();
        }

        private String item(String key) {
            String value = Base64.getEncoder().encodeToString(items.get(key).getBytes(StandardCharsets.UTF_8));
            return "{\"Key\":\"" + key + "\",\"Value\":\"" + value + "\",\"Rev\":" + revisions.get(key) + ",\"Created\":"
                    + revisions.get(key) + ",\"Lease\":0";
        }

        private void serve(Socket socket) throws IOException {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (Message m = head(in); m != null; m = head(in)) {
                String[] uri = m.first.split(" ")[1].split("\\?", 2);
                Map<String, String> query = new LinkedHashMap<>();
                for (String part : uri.length < 2 ? new String[0] : uri[1].split("&")) {
                    int eq = part.indexOf('=');
                    query.put(part.substring(0, eq), URLDecoder.decode(part.substring(eq + 1), StandardCharsets.UTF_8));
                }
                String answer = answer(uri[0], query);
                while (silent) {
                    pause(50);
                }
                byte[] body = answer.substring(4).getBytes(StandardCharsets.UTF_8);
                OutputStream out = socket.getOutputStream();
                out.write(("HTTP/1.1 " + answer.substring(0, 3) + " X\r\nContent-Type: application/json\r\nContent-Length: "
                                + body.length + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
                out.write(body);
                out.flush();
            }
        }

        private synchronized String answer(String path, Map<String, String> query) {
            String revisionField = "\"StoreRevision\":" + revision + "}";
            switch (path) {
                case "/v1/kv-key" -> {
                    String key = query.get("Key");
                    return items.containsKey(key) ? "200 " + item(key) + "," + revisionField : "404 {" + revisionField;
                }
                case "/v1/kv-range" -> {
                    List<String> list = new ArrayList<>();
                    items.tailMap(query.get("PathPrefix")).keySet().stream()
                            .filter(k -> k.startsWith(query.get("PathPrefix")))
                            .forEach(k -> list.add(item(k) + "}"));
                    return "200 {\"Items\":[" + String.join(",", list) + "],\"Truncated\":false," + revisionField;
                }
                case "/v1/kv-watch" -> {
                    long after = Long.parseLong(query.get("After"));
                    long end = millis() + Long.parseLong(query.get("WaitMs"));
                    while (true) {
                        List<String> list = new ArrayList<>();
                        items.keySet().stream()
                                .filter(k -> k.startsWith(query.get("PathPrefix")) && revisions.get(k) > after)
                                .forEach(k -> list.add(item(k) + "}"));
                        if (!list.isEmpty() || millis() >= end) {
                            return "200 {\"events\":[" + String.join(",", list) + "],\"StoreRevision\":" + revision + "}";
                        }
                        try {
                            wait(Math.max(1, end - millis()));
                        } catch (InterruptedException e) {
                            return "503 {}";
                        }
                    }
                }
                default -> {
                    return "404 {}";
                }
            }
        }
    }

    /** Writes a configuration with a plain service "desk" and an engine service "pool". */
    void configure(long version, String engine) {
        configure(version, engine, List.of(new Tenant("tenant-one", List.of(KEY))));
    }

    /** An organisation and its keys. */
    record Tenant(String name, List<String> keys) {
        private String json() {
            List<String> quoted = keys.stream().map(k -> "\"" + k + "\"").toList();
            return "{\"Name\":\"" + name + "\",\"ApiKeys\":[" + String.join(",", quoted) + "],\"Priority\":1}";
        }
    }

    /** Writes a configuration with the given tenants. */
    void configure(long version, String engine, List<Tenant> tenants) {
        String limits = "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,"
                + "\"IdleTimeoutMs\":15000}";
        store.put("op/config", "{\"Version\":" + version + ",\"Routes\":["
                + "{\"Name\":\"r-guide\",\"Host\":\"shop.example\",\"PathPrefix\":\"/guide/\",\"Kind\":\"stream\",\"TimeoutMs\":39000,"
                + "\"SloMs\":1800,\"Priority\":1,\"Service\":\"pool\",\"MaxAttempts\":1,\"Public\":false,\"Sticky\":true,"
                + "\"Resumable\":false,\"GapTargetMs\":180},"
                + "{\"Name\":\"r-book\",\"Host\":\"shop.example\",\"PathPrefix\":\"/book/\",\"Kind\":\"non_idempotent\","
                + "\"TimeoutMs\":1200,\"SloMs\":150,\"Priority\":2,\"Service\":\"desk\",\"MaxAttempts\":1,\"Public\":false},"
                + "{\"Name\":\"r-look\",\"Host\":\"shop.example\",\"PathPrefix\":\"/look/\",\"Kind\":\"idempotent\","
                + "\"TimeoutMs\":1200,\"SloMs\":150,\"Priority\":2,\"Service\":\"desk\",\"MaxAttempts\":2,\"Public\":false}],"
                + "\"Services\":[{\"Name\":\"pool\",\"HealthPath\":\"/healthz\",\"MaxConns\":232,\"Protocol\":\"h1\",\"Tls\":false,"
                + "\"Engine\":" + engine + "},"
                + "{\"Name\":\"desk\",\"HealthPath\":\"/healthz\",\"MaxConns\":110,\"Protocol\":\"h1\",\"Tls\":false}],"
                + limits + ",\"Tenants\":[" + String.join(",", tenants.stream().map(Tenant::json).toList()) + "]}");
    }

    static String engine(int capacity, boolean moves, boolean backups) {
        return "{\"BatchSlots\":24,\"KvCapacity\":" + capacity + ",\"KvTokenBytes\":18432,\"LinkMbps\":2700.0,\"Moves\":" + moves
                + ",\"Backups\":" + backups + ",\"Stride\":4,\"most\":12,\"PinMs\":4000.0,\"HoldMs\":2000.0,\"HandleS\":5.0,"
                + "\"Models\":[{\"Name\":\"m\"}]}";
    }

    // ---------------------------------------------------------------- servers

    /** What a server does with one request; returns whether the connection stays open. */
    interface Handler {
        boolean serve(Server server, Message request, Line line) throws IOException;
    }

    /** One connection to a server. */
    static final class Line {
        final Socket socket;
        final OutputStream out;
        private final InputStream in;
        private volatile boolean closed;

        Line(Socket socket, InputStream in) throws IOException {
            this.socket = socket;
            this.in = in;
            this.out = socket.getOutputStream();
        }

        void write(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.UTF_8));
            out.flush();
        }

        void chunk(String text) throws IOException {
            write(Integer.toHexString(text.getBytes(StandardCharsets.UTF_8).length) + "\r\n" + text + "\r\n");
        }

        /** Returns whether the caller has closed the connection; it must send nothing while it waits for an answer. */
        boolean isClosed() {
            if (!closed) {
                try {
                    socket.setSoTimeout(1);
                    in.mark(1);
                    closed = in.read() < 0;
                    if (!closed) {
                        in.reset();
                    }
                } catch (java.net.SocketTimeoutException e) {
                    return false;
                } catch (IOException e) {
                    closed = true;
                } finally {
                    try {
                        socket.setSoTimeout(0);
                    } catch (IOException e) {
                        closed = true;
                    }
                }
            }
            return closed;
        }
    }

    /** A server of a service; its state in the store is written by the case. */
    final class Server {
        final String id;
        final String service;
        private final ServerSocket socket;
        private final Handler handler;
        private final List<Socket> connections = new CopyOnWriteArrayList<>();
        private volatile String state;
        private volatile boolean cutOff;
        private boolean beating;
        private int sequence;

        Server(String id, String service, Handler handler) throws IOException {
            this.id = id;
            this.service = service;
            this.handler = handler;
            this.socket = listen(this::serve);
        }

        String address() {
            return HOST + ":" + socket.getLocalPort();
        }

        void publish(String next) {
            state = next;
            store.put("servers/" + id, entry());
            if (!beating) {
                beating = true;
                Thread.startVirtualThread(this::beat);
            }
        }

        /** Writes its entry again every HeartbeatMs, unless it is cut off from the store. */
        private void beat() {
            while (!socket.isClosed()) {
                Lab.pause(HEARTBEAT_MS);
                if (!cutOff) {
                    store.refresh("servers/" + id, entry());
                }
            }
        }

        /** Cuts the server off from the store, which removes its entry after three heartbeat intervals. */
        void cutOff() {
            log(id, "is cut off from the store");
            cutOff = true;
        }

        /** Ends the cut. */
        void reach() {
            log(id, "reaches the store again");
            cutOff = false;
        }

        private synchronized String entry() {
            return "{\"Service\":\"" + service + "\",\"Address\":\"" + address()
                    + "\",\"Zone\":\"bole\",\"Version\":\"v1\",\"BatchSlots\":24,\"State\":\"" + state
                    + "\",\"ColdLeftMs\":0,\"Stage\":\"unified\",\"Models\":[{\"Name\":\"m\",\"Version\":1,\"Adapters\":[]}],"
                    + "\"born\":1790000000000,\"Sequence\":" + ++sequence + "}";
        }

        /** Ends as a process does: its listener and all its connections. */
        void exit() throws IOException {
            log(id, "exits");
            socket.close();
            for (Socket s : connections) {
                s.close();
            }
        }

        private void serve(Socket s) throws IOException {
            connections.add(s);
            InputStream in = new BufferedInputStream(s.getInputStream());
            Line line = new Line(s, in);
            boolean keep = true;
            while (keep) {
                Message m = head(in);
                if (m == null) {
                    return;
                }
                body(in, m, false);
                String expected = m.header("Expect-Instance");
                if (expected != null && !expected.equals(id)) {
                    log(id, "421 for " + m.header("Attempt-Id"));
                    line.write("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
                    continue;
                }
                keep = handler.serve(this, m, line);
            }
        }
    }

    static String answerHead(int status, Message request, String framing) {
        return "HTTP/1.1 " + status + " X\r\nAttempt-Id: " + request.header("Attempt-Id") + "\r\nServer-Stamp: stamp-"
                + request.header("Attempt-Id") + "\r\n" + framing + "\r\n";
    }

    static String event(String id, int number) {
        return "id: " + number + "\ndata: " + id + " piece " + number + "\n\n";
    }

    // ---------------------------------------------------------------- instances

    /** One instance of the system, started with the command of the deploy file. */
    final class Instance {
        final String name;
        final int front = freePort();
        final int ready = freePort();
        final int control = freePort();
        final int metrics = freePort();
        private final Path settings;
        private Process process;

        Instance(String name) throws IOException {
            this.name = name;
            this.settings = temp.resolve(name + ".json");
            instances.add(this);
        }

        void start(String storeAddress, List<Instance> seeds, int graceS) throws IOException {
            List<String> seedList = seeds.stream().map(s -> "\"" + HOST + ":" + s.control + "\"").toList();
            Files.writeString(settings, "{\"NodeName\":\"" + name + "\",\"Role\":\"entry\",\"MachineClass\":\"front\","
                    + "\"Serves\":[\"front\",\"control\"],\"Ip\":\"" + HOST + "\",\"Zone\":\"bole\",\"Region\":\"addis\","
                    + "\"Zones\":{\"bole\":\"addis\"},\"Listen\":{\"Front\":\"" + HOST + ":" + front + "\",\"Ready\":\"" + HOST + ":"
                    + ready + "\",\"Control\":\"" + HOST + ":" + control + "\"},\"InternalPortRange\":[" + metrics + "," + metrics
                    + "],\"Seeds\":[" + String.join(",", seedList) + "],\"Bootstrap\":true,\"FaultCounted\":false,"
                    + "\"Limits\":{\"CpuShare\":0.75,\"Cores\":1,\"MemoryMb\":280,\"MaxFds\":4100,\"LinkMbps\":1000.0,\"DiskMb\":0},"
                    + "\"DataDir\":null,\"Discovery\":\"platform\",\"Entry\":\"virtual_ip\",\"HeartbeatMs\":1200,"
                    + "\"Contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\","
                    + "\"platform\"],\"FaultTolerance\":{\"Machines\":2,\"Zones\":0,\"Regions\":0},"
                    + "\"ContractParams\":{\"SeedLagS\":3,\"ReuseAfterS\":2,\"ContactMs\":3000,\"AckMs\":4000,\"CatchUpS\":4,"
                    + "\"DrainMs\":2000,\"GraceS\":" + graceS + ",\"LossSlackMs\":200,\"ConfigApplyMs\":2000,"
                    + "\"RollbackSlackMs\":250,\"MaxStretchMs\":5000,\"StrictRevoke\":false,\"RevokeMs\":5000,\"RetryRatio\":0.2,"
                    + "\"RetryWindowS\":10,\"RetrySlack\":56,\"RecoveryS\":12,\"PassMs\":120,\"ReuseWindowS\":4.3},"
                    + "\"Provider\":{\"Address\":\"" + storeAddress + "\",\"form\":\"read\",\"WritesPerS\":400,\"ReadsPerS\":2000,"
                    + "\"HistoryS\":20,\"ValueBytes\":1048576,\"TtlMinMs\":1000}}");
            String command = Files.readAllLines(root.resolve("deploy/system.toml")).stream()
                    .filter(l -> l.startsWith("run = "))
                    .findFirst()
                    .orElseThrow();
            command = command.substring(command.indexOf('"') + 1, command.lastIndexOf('"'));
            ProcessBuilder builder = new ProcessBuilder(command.split(" "));
            builder.directory(root.toFile());
            builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            builder.environment().put("VERBENATALLY_CONFIG", settings.toString());
            Path log = System.getenv("KEEP_LOG") != null ? Path.of(System.getenv("KEEP_LOG"), name + ".log") : temp.resolve(name + ".log");
            builder.redirectErrorStream(true).redirectOutput(log.toFile());
            process = builder.start();
            log(name, "started");
        }

        void awaitReady() throws IOException {
            long end = millis() + 20_000;
            while (millis() < end) {
                try (Socket s = new Socket(HOST, ready)) {
                    s.getOutputStream().write("GET /v1/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".getBytes());
                    Message m = head(new BufferedInputStream(s.getInputStream()));
                    if (m != null && m.status() == 200) {
                        log(name, "ready");
                        return;
                    }
                } catch (IOException e) {
                    // Not listening yet.
                }
                pause(50);
            }
            throw new IOException(name + " did not become ready");
        }

        /** Returns a line of the metrics that begins with a name; empty if there is none. */
        String metric(String start) throws IOException {
            try (Socket s = new Socket(HOST, metrics)) {
                s.getOutputStream().write("GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".getBytes());
                String text = new String(s.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
                return text.lines().filter(l -> l.startsWith(start)).findFirst().orElse("");
            }
        }

        void terminate() {
            log(name, "gets SIGTERM");
            process.destroy();
        }

        boolean awaitExit(long millis) throws InterruptedException {
            boolean ended = process.waitFor(millis, TimeUnit.MILLISECONDS);
            log(name, ended ? "has ended with status " + process.exitValue() : "still runs");
            return ended;
        }

        boolean isAlive() {
            return process.isAlive();
        }

        long pid() {
            return process.pid();
        }

        void kill() {
            if (process != null) {
                process.destroyForcibly();
            }
        }
    }

    // ---------------------------------------------------------------- clients

    /** A connection of a client to an instance. */
    final class Client implements Closeable {
        final Socket socket = new Socket();
        final InputStream in;
        /** Key that it sends; empty for none. */
        String key = KEY;
        private String last = "";

        Client(Instance instance, int receiveBuffer) throws IOException {
            if (receiveBuffer > 0) {
                socket.setReceiveBufferSize(receiveBuffer);
            }
            socket.connect(new InetSocketAddress(HOST, instance.front), 1000);
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream(), 1024);
        }

        void send(String method, String path, String id, int deadlineMs, String extra, byte[] body) throws IOException {
            log("client", "sends " + id + ": " + method + " " + path);
            last = id;
            OutputStream out = socket.getOutputStream();
            out.write((method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: " + deadlineMs
                            + (key.isEmpty() ? "" : "\r\nAuthorization: Token " + key) + "\r\n" + extra
                            + (body == null ? "" : "Content-Length: " + body.length + "\r\n") + "\r\n")
                    .getBytes(StandardCharsets.US_ASCII));
            if (body != null) {
                out.write(body);
            }
            out.flush();
        }

        /** Reads an answer; null if the connection ends before it. */
        Message receive(int timeoutMs) throws IOException {
            socket.setSoTimeout(timeoutMs);
            Message m = head(in);
            if (m != null) {
                try {
                    body(in, m, true);
                } catch (IOException e) {
                    log("client", "answer broke off: " + e.getMessage());
                }
            }
            log("client", last + " -> " + (m == null ? "closed" : m.first + ", " + m.body.length + " bytes, complete " + m.complete));
            return m;
        }

        /** Closes the connection, whatever waits for an answer on it. */
        void leave() {
            try {
                socket.close();
            } catch (IOException e) {
                // It was closed before.
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    static String tokens(int prompt, int output, String part) {
        return "Model: m\r\nToken-Count: " + prompt + "," + output + "\r\nLength-Hint: " + output + "\r\nPrompt-Prefix: 5c1e07a2:79,"
                + part + ":" + (prompt - 79) + "\r\n";
    }

}
