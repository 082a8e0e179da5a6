package org.verbenatally.rig;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.vertx.core.json.JsonObject;
import org.verbenatally.platform.standin.PlatformMessages;
import org.verbenatally.platform.standin.PlatformMessages.InstancePorts;
import org.verbenatally.platform.standin.RawMessage;

/** One instance, a process that is started with the command of the deploy file. */
final class InstanceProcess implements AutoCloseable {
    private static final long START_SECONDS = 30;
    private static final long RETRY_MS = 50;
    private static final String COMMAND = "run = \"";

    private final InstancePorts ports;
    private final Path root;
    private final Path settings;
    private final Path log;
    private volatile Process process;
    private volatile boolean disturbed;

    /**
     * Writes the settings of an instance.
     *
     * @param root folder of the program
     * @param folder folder for settings and logs
     */
    InstanceProcess(InstancePorts ports, JsonObject settings, Path root, Path folder) throws IOException {
        this.ports = ports;
        this.root = root;
        this.settings = Files.writeString(folder.resolve(ports.name() + ".json"), settings.encode());
        log = folder.resolve(ports.name() + ".log");
    }

    String name() {
        return ports.name();
    }

    int front() {
        return ports.front();
    }

    /** Returns whether the instance is suspended, stopping or starting. */
    boolean isDisturbed() {
        return disturbed;
    }

    /** Starts the process and waits until it is ready. */
    void start() throws IOException, InterruptedException {
        String line = Files.readAllLines(root.resolve("deploy/system.toml")).stream()
                .filter(l -> l.startsWith(COMMAND))
                .findFirst()
                .orElseThrow(() -> new IOException("no command in deploy/system.toml"));
        var builder = new ProcessBuilder(
                line.substring(COMMAND.length(), line.lastIndexOf('"')).split(" "));
        builder.directory(root.toFile());
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        PlatformMessages.setSettings(builder.environment(), settings);
        process = builder.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                .start();
        awaitReady();
        disturbed = false;
    }

    private void awaitReady() throws IOException, InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_SECONDS);
        while (System.nanoTime() - end < 0 && process.isAlive()) {
            if (isReady()) {
                return;
            }
            Thread.sleep(RETRY_MS);
        }
        throw new IOException(name() + " did not become ready; see " + log);
    }

    private boolean isReady() {
        try (var socket = new Socket("127.0.0.1", ports.ready())) {
            socket.getOutputStream()
                    .write("GET /v1/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
                            .getBytes(StandardCharsets.US_ASCII));
            return RawMessage.readResponse(new BufferedInputStream(socket.getInputStream()))
                    .filter(response -> response.secondWord().equals("200"))
                    .isPresent();
        } catch (IOException e) {
            // Nothing listens yet.
            return false;
        }
    }

    /** Suspends the process for some time. */
    void freeze(Duration duration) throws IOException, InterruptedException {
        disturbed = true;
        signal("-STOP");
        try {
            Thread.sleep(duration.toMillis());
        } finally {
            signal("-CONT");
        }
        disturbed = false;
    }

    private void signal(String signal) throws IOException, InterruptedException {
        int status = new ProcessBuilder("kill", signal, Long.toString(process.pid()))
                .start()
                .waitFor();
        if (status != 0) {
            throw new IOException("kill " + signal + " of " + name() + " ended with " + status);
        }
    }

    /** Terminates the process, by force after some time, and starts it again. */
    void restart(Duration grace) throws IOException, InterruptedException {
        disturbed = true;
        process.destroy();
        if (!process.waitFor(grace.toMillis(), TimeUnit.MILLISECONDS)) {
            process.destroyForcibly().waitFor();
        }
        start();
    }

    @Override
    public void close() {
        if (process != null) {
            process.destroyForcibly();
        }
    }
}
