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
 * Relays in front of the processes of a cluster. To simulate a partition, the bytes from one process to another can be
 * held back; they are delivered when the link heals. Open connections can also be silenced permanently while new ones
 * work.
 */
final class Links implements AutoCloseable {
    private static final int BUFFER_BYTES = 16_384;
    private static final int CONNECT_TIMEOUT_MS = 5_000;
    private static final int RECHECK_INTERVAL_MS = 500;
    private static final BiPredicate<String, String> HOLD_NONE = (from, to) -> false;

    private final SocketOwners owners;
    private final List<ServerSocket> listeners = new CopyOnWriteArrayList<>();
    private final List<Connection> connections = new CopyOnWriteArrayList<>();
    private final Object holdRuleChanged = new Object();
    private volatile BiPredicate<String, String> holdRule = HOLD_NONE;

    /** One relayed connection to a named process. The process that opened it is looked up when a fault needs it. */
    private final class Connection {
        private final String to;
        private final Socket inbound;
        private final Socket outbound = new Socket();
        private volatile String from;
        private volatile boolean silenced;

        Connection(String to, Socket inbound) {
            this.to = to;
            this.inbound = inbound;
        }

        String from() {
            if (from == null) {
                from = owners.find(inbound.getPort(), inbound.getLocalPort()).orElse("unknown");
            }
            return from;
        }

        boolean isHeld(boolean forward) {
            BiPredicate<String, String> rule = holdRule;
            return silenced || (rule != HOLD_NONE && (forward ? rule.test(from(), to) : rule.test(to, from())));
        }

        /** Waits while bytes in the given direction are held back. */
        void awaitNotHeld(boolean forward) throws InterruptedException {
            boolean held = isHeld(forward);
            while (held) {
                synchronized (holdRuleChanged) {
                    holdRuleChanged.wait(RECHECK_INTERVAL_MS);
                }
                held = isHeld(forward);
            }
        }
    }

    /**
     * Creates an instance without relays.
     *
     * @param names returns the current names of the processes by process id
     */
    Links(Supplier<Map<Long, String>> names) {
        owners = new SocketOwners(names);
    }

    /** Starts a relay in front of an address and returns the address at which the relay listens. */
    Address add(String to, Address destination) {
        try {
            ServerSocket listener = new ServerSocket(0, 256, InetAddress.getByName(destination.host()));
            listeners.add(listener);
            Thread.ofVirtual().name("relay-" + to).start(() -> accept(to, destination, listener));
            return new Address(destination.host(), listener.getLocalPort());
        } catch (IOException e) {
            throw new UncheckedIOException("cannot open a relay to " + to, e);
        }
    }

    /** Holds back all bytes from the first to the second process of each pair for which the predicate holds. */
    void hold(BiPredicate<String, String> fromTo) {
        holdRule = fromTo;
        notifyWaiters();
    }

    /** Holds back all bytes between two groups of processes. A process in neither group stays connected to both. */
    void partition(List<String> left, List<String> right) {
        hold((from, to) -> (left.contains(from) && right.contains(to)) || (right.contains(from) && left.contains(to)));
    }

    /** Delivers all bytes that were held back. Silenced connections stay silent. */
    void heal() {
        hold(HOLD_NONE);
    }

    /**
     * Silences the open connections for which the predicate holds, permanently and in both directions. Returns how many
     * connections were silenced by this call.
     */
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

    private void notifyWaiters() {
        synchronized (holdRuleChanged) {
            holdRuleChanged.notifyAll();
        }
    }

    private void accept(String to, Address destination, ServerSocket listener) {
        while (!listener.isClosed()) {
            try {
                Socket inbound = listener.accept();
                Thread.ofVirtual().start(() -> relay(to, destination, inbound));
            } catch (IOException e) {
                // The listener was closed, or the connection was closed before it was accepted.
            }
        }
    }

    private void relay(String to, Address destination, Socket inbound) {
        Connection connection = new Connection(to, inbound);
        try {
            inbound.setTcpNoDelay(true);
            connection.outbound.setTcpNoDelay(true);
            connection.awaitNotHeld(true);
            connection.outbound.connect(
                    new InetSocketAddress(destination.host(), destination.port()), CONNECT_TIMEOUT_MS);
        } catch (IOException e) {
            reset(inbound);
            return;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return;
        }
        connections.add(connection);
        Thread.ofVirtual().start(() -> copyBytes(connection, false));
        copyBytes(connection, true);
    }

    private void copyBytes(Connection connection, boolean forward) {
        Socket in = forward ? connection.inbound : connection.outbound;
        Socket out = forward ? connection.outbound : connection.inbound;
        byte[] buffer = new byte[BUFFER_BYTES];
        boolean endOfStream = false;
        try {
            InputStream source = in.getInputStream();
            OutputStream sink = out.getOutputStream();
            int read = source.read(buffer);
            while (read >= 0) {
                connection.awaitNotHeld(forward);
                sink.write(buffer, 0, read);
                read = source.read(buffer);
            }
            endOfStream = true;
        } catch (IOException e) {
            // The end of the connection is forwarded below.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        try {
            // A cut link forwards neither data nor the end of the connection.
            connection.awaitNotHeld(forward);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (endOfStream) {
            shutDownOutput(out);
        } else {
            connections.remove(connection);
            reset(out);
            reset(in);
        }
        if (connection.inbound.isOutputShutdown() && connection.outbound.isOutputShutdown()) {
            connections.remove(connection);
            closeQuietly(in);
            closeQuietly(out);
        }
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // The socket is already closed.
        }
    }

    private static void shutDownOutput(Socket socket) {
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
            // The socket is already closed.
        }
    }

    @Override
    public void close() {
        heal();
        for (ServerSocket listener : listeners) {
            try {
                listener.close();
            } catch (IOException e) {
                // The listener is already closed.
            }
        }
        connections.forEach(connection -> {
            connection.silenced = false;
            reset(connection.inbound);
            reset(connection.outbound);
        });
    }
}
