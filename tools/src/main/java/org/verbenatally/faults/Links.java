package org.verbenatally.faults;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BiPredicate;
import java.util.function.Supplier;

import org.verbenatally.core.Address;

/**
 * Relays in front of the processes of a cluster. Bytes from one process to another can be held back, as a partition
 * does; they arrive when the link heals. Open connections can also be silenced for good while new ones work.
 */
final class Links implements AutoCloseable {
    private static final int BUFFER = 16_384;
    private static final int CONNECT_MS = 5_000;
    private static final int RECHECK_MS = 500;
    private static final BiPredicate<String, String> NOTHING = (from, to) -> false;

    private final SocketOwners owners;
    private final List<ServerSocket> listeners = new CopyOnWriteArrayList<>();
    private final List<Connection> connections = new CopyOnWriteArrayList<>();
    private final Object changed = new Object();
    private volatile BiPredicate<String, String> held = NOTHING;

    /** One relayed connection to a named process; who opened it is looked up when a fault needs to know. */
    private final class Connection {
        private final String to;
        private final Socket near;
        private final Socket far = new Socket();
        private volatile String from;
        private volatile boolean silenced;

        Connection(String to, Socket near) {
            this.to = to;
            this.near = near;
        }

        String from() {
            if (from == null) {
                from = owners.find(near.getPort(), near.getLocalPort()).orElse("unknown");
            }
            return from;
        }

        boolean isHeld(boolean forward) {
            BiPredicate<String, String> rule = held;
            return silenced || (rule != NOTHING && (forward ? rule.test(from(), to) : rule.test(to, from())));
        }

        /** Waits while bytes may not flow in a direction. */
        void awaitOpen(boolean forward) throws InterruptedException {
            boolean wait = isHeld(forward);
            while (wait) {
                synchronized (changed) {
                    changed.wait(RECHECK_MS);
                }
                wait = isHeld(forward);
            }
        }
    }

    /**
     * Creates relays.
     *
     * @param names names of the processes by process id, as of the call
     */
    Links(Supplier<Map<Long, String>> names) {
        owners = new SocketOwners(names);
    }

    /** Puts a relay in front of an address and returns where it listens. */
    Address add(String to, Address real) {
        try {
            ServerSocket listener = new ServerSocket(0, 256, InetAddress.getByName(real.host()));
            listeners.add(listener);
            Thread.ofVirtual().name("relay-" + to).start(() -> accept(to, real, listener));
            return new Address(real.host(), listener.getLocalPort());
        } catch (IOException e) {
            throw new UncheckedIOException("cannot open a relay to " + to, e);
        }
    }

    /** Holds back all bytes that flow from the first to the second process whenever the predicate says so. */
    void hold(BiPredicate<String, String> fromTo) {
        held = fromTo;
        wake();
    }

    /** Holds back all bytes between two groups of processes; a name that is in neither group is connected to both. */
    void partition(List<String> left, List<String> right) {
        hold((from, to) -> (left.contains(from) && right.contains(to)) || (right.contains(from) && left.contains(to)));
    }

    /** Lets all bytes that were held back flow again. Silenced connections stay silent. */
    void heal() {
        hold(NOTHING);
    }

    /** Silences the open connections for which the predicate holds, for good and in both directions. */
    int silence(BiPredicate<String, String> fromTo) {
        int count = 0;
        for (Connection connection : connections) {
            if (!connection.silenced && fromTo.test(connection.from(), connection.to)) {
                connection.silenced = true;
                count++;
            }
        }
        return count;
    }

    private void wake() {
        synchronized (changed) {
            changed.notifyAll();
        }
    }

    private void accept(String to, Address real, ServerSocket listener) {
        while (!listener.isClosed()) {
            try {
                Socket near = listener.accept();
                Thread.ofVirtual().start(() -> relay(to, real, near));
            } catch (IOException e) {
                // The listener was closed, or the connection was gone before it was accepted.
            }
        }
    }

    private void relay(String to, Address real, Socket near) {
        Connection connection = new Connection(to, near);
        try {
            near.setTcpNoDelay(true);
            connection.far.setTcpNoDelay(true);
            connection.awaitOpen(true);
            connection.far.connect(new InetSocketAddress(real.host(), real.port()), CONNECT_MS);
        } catch (IOException e) {
            reset(near);
            return;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return;
        }
        connections.add(connection);
        Thread.ofVirtual().start(() -> pump(connection, false));
        pump(connection, true);
    }

    private void pump(Connection connection, boolean forward) {
        Socket in = forward ? connection.near : connection.far;
        Socket out = forward ? connection.far : connection.near;
        byte[] buffer = new byte[BUFFER];
        boolean clean = false;
        try {
            InputStream source = in.getInputStream();
            OutputStream sink = out.getOutputStream();
            int read = source.read(buffer);
            while (read >= 0) {
                connection.awaitOpen(forward);
                sink.write(buffer, 0, read);
                read = source.read(buffer);
            }
            clean = true;
        } catch (IOException e) {
            // The end of the connection is passed on below.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        try {
            // A cut link passes on neither data nor the end of the connection.
            connection.awaitOpen(forward);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (clean) {
            close(out);
        } else {
            connections.remove(connection);
            reset(out);
            reset(in);
        }
        if (connection.near.isOutputShutdown() && connection.far.isOutputShutdown()) {
            connections.remove(connection);
            release(in);
            release(out);
        }
    }

    private static void release(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed already.
        }
    }

    private static void close(Socket socket) {
        try {
            socket.shutdownOutput();
        } catch (IOException e) {
            reset(socket);
        }
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // It is closed already.
        }
    }

    @Override
    public void close() {
        heal();
        for (ServerSocket listener : listeners) {
            try {
                listener.close();
            } catch (IOException e) {
                // It is closed already.
            }
        }
        connections.forEach(connection -> {
            connection.silenced = false;
            reset(connection.near);
            reset(connection.far);
        });
    }
}
