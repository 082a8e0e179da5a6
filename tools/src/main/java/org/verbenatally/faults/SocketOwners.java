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

/** Finds the process at the far end of a loopback connection, so that a relay can cut links by their source. */
final class SocketOwners {
    private static final int LOCAL_ADDRESS = 1;
    private static final int REMOTE_ADDRESS = 2;
    private static final int STATE = 3;
    private static final int INODE = 9;
    private static final String ESTABLISHED = "01";
    /** A port may be taken by another process after this; reading the tables takes some milliseconds. */
    private static final long MAX_AGE_NANOS = 200_000_000;

    private final Supplier<Map<Long, String>> names;
    private Map<String, String> owners = Map.of();
    private long readAtNanos = System.nanoTime() - MAX_AGE_NANOS;

    /**
     * Creates a finder.
     *
     * @param names names of the processes by process id, as of the call
     */
    SocketOwners(Supplier<Map<Long, String>> names) {
        this.names = names;
    }

    /**
     * Finds which process has an open connection from a local port to another.
     *
     * @param from port of the process that is sought
     * @param to port that it is connected to
     */
    synchronized Optional<String> find(int from, int to) {
        String connection = from + ":" + to;
        if (!owners.containsKey(connection) || System.nanoTime() - readAtNanos > MAX_AGE_NANOS) {
            owners = read();
            readAtNanos = System.nanoTime();
        }
        return Optional.ofNullable(owners.get(connection));
    }

    private Map<String, String> read() {
        Map<String, String> connections = new HashMap<>();
        for (String table : List.of("/proc/net/tcp6", "/proc/net/tcp")) {
            try (Stream<String> lines = Files.lines(Path.of(table))) {
                lines.map(line -> line.trim().split("\\s+"))
                        .filter(parts -> parts.length > INODE && parts[STATE].equals(ESTABLISHED))
                        .forEach(parts -> connections.put(
                                "socket:[" + parts[INODE] + "]",
                                port(parts[LOCAL_ADDRESS]) + ":" + port(parts[REMOTE_ADDRESS])));
            } catch (IOException e) {
                // The table is missing when the address family is off; the other one may have the connection.
            }
        }
        Map<String, String> found = new HashMap<>();
        names.get()
                .forEach((pid, name) -> sockets(pid).forEach(socket -> {
                    if (connections.containsKey(socket)) {
                        found.put(connections.get(socket), name);
                    }
                }));
        return found;
    }

    private static int port(String address) {
        return Integer.parseInt(address.substring(address.indexOf(':') + 1), 16);
    }

    private static List<String> sockets(long pid) {
        try (Stream<Path> files = Files.list(Path.of("/proc", Long.toString(pid), "fd"))) {
            return files.map(SocketOwners::target).toList();
        } catch (IOException e) {
            // The process has ended.
            return List.of();
        }
    }

    private static String target(Path file) {
        try {
            return Files.readSymbolicLink(file).toString();
        } catch (IOException e) {
            // The file was closed in the meantime.
            return "";
        }
    }
}
