package org.verbenatally.faults;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.stream.Stream;

/** Finds the process at the remote end of a loopback connection, so that a relay can cut links by their source. */
final class SocketOwners {
    private static final int LOCAL_ADDRESS = 1;
    private static final int REMOTE_ADDRESS = 2;
    private static final int STATE = 3;
    private static final int INODE = 9;
    private static final String ESTABLISHED = "01";
    /**
     * Older results are not used, because another process may have taken the port since. Reading the tables takes a few
     * milliseconds, so they are not read for each query.
     */
    private static final long MAX_AGE_NANOS = 200_000_000;

    private final Supplier<Map<Long, String>> names;
    private Map<String, String> owners = Map.of();
    private long readAtNanos = System.nanoTime() - MAX_AGE_NANOS;

    /**
     * Creates an instance.
     *
     * @param names returns the current names of the processes by process id
     */
    SocketOwners(Supplier<Map<Long, String>> names) {
        this.names = names;
    }

    /**
     * Returns the name of the process that has an open connection from one local port to another.
     *
     * @param from port of the process to find
     * @param to port that it is connected to
     */
    synchronized Optional<String> find(int from, int to) {
        String connection = from + ":" + to;
        if (!owners.containsKey(connection) || System.nanoTime() - readAtNanos > MAX_AGE_NANOS) {
            owners = readTables();
            readAtNanos = System.nanoTime();
        }
        return Optional.ofNullable(owners.get(connection));
    }

    private Map<String, String> readTables() {
        Map<String, String> connections = new HashMap<>();
        for (String table : List.of("/proc/net/tcp6", "/proc/net/tcp")) {
            try (Stream<String> lines = Files.lines(Path.of(table))) {
                lines.map(line -> line.trim().split("\\s+"))
                        .filter(parts -> parts.length > INODE && parts[STATE].equals(ESTABLISHED))
                        .forEach(parts -> connections.put(
                                "socket:[" + parts[INODE] + "]",
                                port(parts[LOCAL_ADDRESS]) + ":" + port(parts[REMOTE_ADDRESS])));
            } catch (IOException e) {
                // The table is missing if the address family is disabled; the other table may contain the connection.
            }
        }
        Map<String, String> found = new HashMap<>();
        names.get()
                .forEach((pid, name) -> fileDescriptorTargets(pid).forEach(socket -> {
                    if (connections.containsKey(socket)) {
                        found.put(connections.get(socket), name);
                    }
                }));
        return found;
    }

    private static int port(String address) {
        return Integer.parseInt(address.substring(address.indexOf(':') + 1), 16);
    }

    private static List<String> fileDescriptorTargets(long pid) {
        try (Stream<Path> files = Files.list(Path.of("/proc", Long.toString(pid), "fd"))) {
            return files.map(SocketOwners::linkTarget).toList();
        } catch (IOException e) {
            // The process has ended.
            return List.of();
        }
    }

    private static String linkTarget(Path file) {
        try {
            return Files.readSymbolicLink(file).toString();
        } catch (IOException e) {
            // The file was closed in the meantime.
            return "";
        }
    }
}
