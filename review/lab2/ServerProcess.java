import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** A server in a process of its own, which the case registers in the store while it lives. */
final class ServerProcess {
    final String id;
    final String service;
    final String address;
    final long born = System.currentTimeMillis();
    private final int slots;
    private final Path log;
    private final Process process;
    private int sequence;

    ServerProcess(Path folder, String service, String host, int slots, boolean framed) throws IOException {
        int port = Server.freePort(host);
        this.id = "i-%08x".formatted(host.hashCode() * 31 + port);
        this.service = service;
        this.slots = slots;
        this.address = host + ":" + port;
        this.log = folder.resolve("server-" + id + ".log");
        this.process = new ProcessBuilder(
                        "target/runtime/bin/java", "-Xmx64m", "-cp", "target/review-2", "ServerProcess", log.toString(),
                        id, service, host, String.valueOf(port), String.valueOf(slots), String.valueOf(framed))
                .inheritIO()
                .start();
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
        Record.log("server %s of %s at %s is process %d, framed: %s", id, service, address, process.pid(), framed);
    }

    /** Registers the server at each heartbeat until its process has ended, and removes it three heartbeats later. */
    void register(Store store) {
        Thread.ofVirtual().start(() -> {
            while (process.isAlive()) {
                store.put("servers/" + id, Server.entry(service, address, slots, false, ++sequence, id, born));
                Server.pause(1_200);
            }
            Server.pause(3_600);
            store.delete("servers/" + id);
        });
    }

    /** Crashes the server: SIGKILL. */
    void crash() {
        Record.say("server %s crashes (SIGKILL)", id);
        process.destroyForcibly();
    }

    void end() throws IOException {
        process.destroyForcibly();
        if (Files.exists(log)) {
            Record.log("what server %s wrote, with its own clock:", id);
            Files.readAllLines(log).forEach(line -> Record.log("    %s", line));
        }
    }

    public static void main(String[] args) throws Exception {
        Record.open(args[0]);
        Server server = new Server(null, args[2], args[3], Integer.parseInt(args[4]), Integer.parseInt(args[5]));
        server.framed = Boolean.parseBoolean(args[6]);
        try {
            server.start(args[1]);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        Thread.sleep(110_000);
        System.exit(0);
    }
}
