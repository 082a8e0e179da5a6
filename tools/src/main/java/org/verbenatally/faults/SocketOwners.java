package org.verbenatally.faults;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/** Finds the process at the far end of a loopback connection, so that a relay can cut links by their source. */
final class SocketOwners {
    private static final int LOCAL_ADDRESS = 1;
    private static final int REMOTE_ADDRESS = 2;
    private static final int INODE = 9;

    private SocketOwners() {}

    /**
     * Finds which of the given processes has a connection from a local port to another.
     *
     * @param from port of the process that is sought
     * @param to port that it is connected to
     * @param names names of the processes by process id
     */
    static Optional<String> find(int from, int to, Map<Long, String> names) {
        return inode(from, to)
                .flatMap(inode -> names.entrySet().stream()
                        .filter(entry -> holds(entry.getKey(), "socket:[" + inode + "]"))
                        .map(Map.Entry::getValue)
                        .findFirst());
    }

    private static Optional<String> inode(int from, int to) {
        String local = String.format(Locale.ROOT, ":%04X", from);
        String remote = String.format(Locale.ROOT, ":%04X", to);
        for (String table : List.of("/proc/net/tcp6", "/proc/net/tcp")) {
            try (Stream<String> lines = Files.lines(Path.of(table))) {
                Optional<String> found = lines.map(line -> line.trim().split("\\s+"))
                        .filter(parts -> parts.length > INODE)
                        .filter(parts -> parts[LOCAL_ADDRESS].endsWith(local) && parts[REMOTE_ADDRESS].endsWith(remote))
                        .map(parts -> parts[INODE])
                        .findFirst();
                if (found.isPresent()) {
                    return found;
                }
            } catch (IOException e) {
                // The table is missing when the address family is off; the other one may have the connection.
            }
        }
        return Optional.empty();
    }

    private static boolean holds(long pid, String socket) {
        try (Stream<Path> files = Files.list(Path.of("/proc", Long.toString(pid), "fd"))) {
            return files.anyMatch(file -> {
                try {
                    return Files.readSymbolicLink(file).toString().equals(socket);
                } catch (IOException e) {
                    return false;
                }
            });
        } catch (IOException e) {
            return false;
        }
    }
}
