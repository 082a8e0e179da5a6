package org.verbenatally.faults;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** A Java child process. It uses the JDK and class path of this process and is killed when this process exits. */
final class ChildProcess implements AutoCloseable {
    private static final Map<Long, Process> STARTED = new ConcurrentHashMap<>();
    private static final List<String> JVM_OPTIONS = List.of(
            "-Xmx128m",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-Xshare:auto",
            "--enable-native-access=ALL-UNNAMED",
            "--sun-misc-unsafe-memory-access=allow",
            "-Djava.util.logging.manager=org.jboss.logmanager.LogManager");

    static {
        Runtime.getRuntime()
                .addShutdownHook(new Thread(() -> STARTED.values().forEach(Process::destroyForcibly), "kill-children"));
    }

    private static volatile Map<String, String> systemProperties = Map.of();

    private final String name;
    private final Process process;
    private final BufferedReader out;

    private ChildProcess(String name, Process process) {
        this.name = name;
        this.process = process;
        out = process.inputReader(StandardCharsets.UTF_8);
    }

    /** Sets the system properties of all processes that are started afterwards. */
    static void setSystemProperties(Map<String, String> values) {
        systemProperties = Map.copyOf(values);
    }

    /** Starts a main class in a new process. Its standard error is appended to {@code <folder>/<name>.log}. */
    static ChildProcess start(String name, Path folder, String mainClass, List<String> arguments) {
        List<String> command = new ArrayList<>();
        command.add(System.getProperty("java.home") + File.separator + "bin" + File.separator + "java");
        command.addAll(JVM_OPTIONS);
        systemProperties.forEach((key, value) -> command.add("-D" + key + "=" + value));
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), mainClass));
        command.addAll(arguments);
        File log = folder.resolve(name + ".log").toFile();
        try {
            Process process = new ProcessBuilder(command)
                    .redirectError(ProcessBuilder.Redirect.appendTo(log))
                    .start();
            STARTED.put(process.pid(), process);
            process.onExit().thenRun(() -> STARTED.remove(process.pid()));
            return new ChildProcess(name, process);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot start " + name, e);
        }
    }

    /**
     * Reads standard output up to a line that starts with the given prefix. The rest is read and discarded in the
     * background, so that the process never blocks on a full pipe.
     *
     * @return the lines up to and including that line
     * @throws IllegalStateException if the process ends before it prints such a line
     */
    List<String> awaitLine(String prefix) {
        List<String> lines = new ArrayList<>();
        try {
            for (String line = out.readLine(); line != null; line = out.readLine()) {
                lines.add(line);
                if (line.startsWith(prefix)) {
                    Thread.ofVirtual().start(this::discardOutput);
                    return lines;
                }
            }
        } catch (IOException e) {
            throw new UncheckedIOException("cannot read the output of " + name, e);
        }
        throw new IllegalStateException(name + " ended before it printed '" + prefix + "': " + lines);
    }

    private void discardOutput() {
        try {
            while (out.readLine() != null) {
                continue;
            }
        } catch (IOException e) {
            // The process has ended; there is nothing left to read.
        }
    }

    String name() {
        return name;
    }

    long pid() {
        return process.pid();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Kills the process, as {@code kill -9} does, and waits for up to 10 s until it has ended. */
    void kill() {
        process.destroyForcibly();
        awaitExit(Duration.ofSeconds(10));
    }

    /** Asks the process to stop (SIGTERM). */
    void terminate() {
        process.destroy();
    }

    /** Suspends the process (SIGSTOP). */
    void pause() {
        signal("-STOP");
    }

    /** Resumes a suspended process (SIGCONT). */
    void resume() {
        signal("-CONT");
    }

    private void signal(String signal) {
        if (!process.isAlive()) {
            return;
        }
        try {
            int status = new ProcessBuilder("kill", signal, Long.toString(process.pid()))
                    .inheritIO()
                    .start()
                    .waitFor();
            if (status != 0 && process.isAlive()) {
                throw new IllegalStateException("kill " + signal + " of " + name + " returned " + status);
            }
        } catch (IOException e) {
            throw new UncheckedIOException("cannot signal " + name, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits for the process to end. Returns whether it ended within the timeout. */
    boolean awaitExit(Duration timeout) {
        try {
            return process.waitFor(timeout.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** Returns the exit status of a process that has ended. */
    int exitStatus() {
        return process.exitValue();
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
