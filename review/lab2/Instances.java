import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/** Instances of the system, started as the deploy file says, each on a loopback address of its own. */
final class Instances {
    static final String ZONE = "bole";
    private static final String[] ZONES = {ZONE, "kality", "merkato"};

    /** Whether each instance is in a zone of its own. */
    boolean spread;
    final List<String> hosts = new ArrayList<>();
    final int port;
    private final Path folder;
    private final String store;
    private final List<Process> processes = new ArrayList<>();

    Instances(Path folder, String store, int count) throws IOException {
        this.folder = folder;
        this.store = store;
        for (int i = 1; i <= count; i++) {
            hosts.add("127.0.72." + i);
        }
        port = freePorts();
        Runtime.getRuntime().addShutdownHook(new Thread(this::kill));
    }

    /** Returns a port such that it and the next nine are free on all hosts. */
    private int freePorts() throws IOException {
        for (int attempt = 0; attempt < 200; attempt++) {
            int first = 20_000 + (int) (Math.random() * 10_000);
            boolean free = true;
            for (String host : hosts) {
                for (int i = 0; i < 10 && free; i++) {
                    try (ServerSocket s = new ServerSocket()) {
                        s.bind(new InetSocketAddress(host, first + i));
                    } catch (IOException e) {
                        free = false;
                    }
                }
            }
            if (free) {
                return first;
            }
        }
        throw new IOException("no free ports");
    }

    void start() throws IOException {
        for (int i = 0; i < hosts.size(); i++) {
            start(i);
        }
    }

    /** Runs the command of deploy/system.toml in the repository's root. */
    void start(int i) throws IOException {
        String host = hosts.get(i);
        String zone = spread ? ZONES[i] : ZONE;
        String seeds = hosts.stream()
                .limit(3)
                .map(h -> "\"" + h + ":" + (port + 2) + "\"")
                .collect(Collectors.joining(","));
        String settings = """
                {"NodeName":"front-%s-%d","Role":"entry","MachineClass":"front","Serves":["front","control"],
                 "Ip":"%s","Zone":"%s","Region":"addis",
                 "Zones":{"bole":"addis","kality":"addis","merkato":"addis"},
                 "Listen":{"Front":"%s:%d","Ready":"%s:%d","Control":"%s:%d"},
                 "InternalPortRange":[%d,%d],"Seeds":[%s],"Bootstrap":true,"FaultCounted":false,
                 "Limits":{"CpuShare":0.75,"Cores":1,"MemoryMb":280,"MaxFds":4100,"LinkMbps":1000.0,"DiskMb":0},
                 "DataDir":null,"Discovery":"platform","Entry":"virtual_ip","HeartbeatMs":1200,
                 "Contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"],
                 "FaultTolerance":{"Machines":2,"Zones":0,"Regions":0},
                 "ContractParams":{"SeedLagS":3,"ReuseAfterS":2,"ContactMs":3000,"AckMs":4000,"CatchUpS":4,
                  "DrainMs":2000,"GraceS":8,"LossSlackMs":200,"ConfigApplyMs":2000,"RollbackSlackMs":250,
                  "MaxStretchMs":5000,"StrictRevoke":false,"RevokeMs":5000,"RetryRatio":0.2,"RetryWindowS":10,
                  "RetrySlack":56,"RecoveryS":12,"PassMs":120,"ReuseWindowS":4.3},
                 "Provider":{"Address":"%s","form":"read","WritesPerS":400,"ReadsPerS":2000,"HistoryS":20,
                  "ValueBytes":1048576,"TtlMinMs":1000}}
                """.formatted(
                        zone, i + 1, host, zone, host, port, host, port + 1, host, port + 2,
                        port + 3, port + 9, seeds, store);
        Path file = folder.resolve("settings-" + (i + 1) + ".json");
        Files.writeString(file, settings);
        ProcessBuilder builder = new ProcessBuilder(
                "target/runtime/bin/java", "@deploy/java.options",
                "-XX:SharedArchiveFile=target/verbenatally.jsa", "-jar", "target/verbenatally.jar");
        Map<String, String> env = builder.environment();
        env.put("VERBENATALLY_CONFIG", file.toString());
        File log = folder.resolve("instance-" + (i + 1) + ".log").toFile();
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        Process process = builder.start();
        if (i < processes.size()) {
            processes.set(i, process);
        } else {
            processes.add(process);
        }
        Record.log("instance %d started, process %d", i + 1, process.pid());
    }

    Process process(int i) {
        return processes.get(i);
    }

    /** Waits until all answer the readiness question with 200. */
    void awaitReady() throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(25);
        for (String host : hosts) {
            while (!ready(host)) {
                if (System.nanoTime() > end) {
                    throw new CannotRun("instance " + host + " is not ready");
                }
                Thread.sleep(100);
            }
        }
        Record.log("all instances are ready");
    }

    boolean ready(String host) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(host, port + 1), 500);
            socket.setSoTimeout(500);
            Http.write(socket.getOutputStream(), "GET /v1/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
            Http.Head head = Http.head(socket.getInputStream());
            return head != null && head.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Sends a signal to an instance: STOP or CONT. */
    void signal(int i, String name) throws Exception {
        int status = new ProcessBuilder("bash", "-c", "kill -" + name + " " + process(i).pid()).start().waitFor();
        if (status != 0) {
            throw new CannotRun("signal " + name + " failed");
        }
        Record.say("instance %d: SIG%s", i + 1, name);
    }

    void kill() {
        processes.forEach(Process::destroyForcibly);
    }

    /** The case could not run. */
    static final class CannotRun extends Exception {
        private static final long serialVersionUID = 1;

        CannotRun(String reason) {
            super(reason);
        }
    }
}
