package org.verbenatally.standin;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.EnumSet;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Relays TCP connections from one address to another and injects faults into them on request. Each connection has its
 * own virtual threads.
 *
 * <p>A silenced connection stays open and silent for its entire lifetime, like a real connection whose state was lost
 * in the network. Ending the silence affects only connections made later.
 */
public final class TcpRelay implements AutoCloseable {
    /** Directions through a relay. */
    public enum Direction {
        /** From the client, which connected to the relay, to the target. */
        TO_TARGET,
        /** From the target to the client. */
        TO_CLIENT
    }

    private static final int BACKLOG = 512;
    private static final int CONNECT_TIMEOUT_MS = 5_000;

    private final RelayOptions options;
    private final Set<RelayConnection> connections = ConcurrentHashMap.newKeySet();
    private volatile Set<Direction> silentForNew = Set.of();
    private volatile long delayMs;
    private ServerSocket listener;
    private Thread acceptor;
    private int port;

    /** Creates a stopped relay. */
    public TcpRelay(RelayOptions options) {
        this.options = options;
        port = options.port();
    }

    /** Starts listening and returns the bound port. */
    public synchronized int start() {
        listen();
        return port;
    }

    /** Resets all open connections. */
    public void resetConnections() {
        connections.forEach(RelayConnection::reset);
    }

    /** Sets whether new connections are refused, by closing the listener. Open connections are not affected. */
    public synchronized void setRefusing(boolean refusing) {
        if (refusing) {
            closeListener();
        } else if (listener == null) {
            listen();
        }
    }

    /**
     * Drops all bytes of the connections that are open now, permanently.
     *
     * @param directions directions that become silent
     */
    public void silenceOpen(Set<Direction> directions) {
        connections.forEach(connection -> connection.silence(directions));
    }

    /**
     * Sets whether connections made from now on are silent.
     *
     * @param directions directions that are silent; empty: none
     */
    public void silenceNew(Set<Direction> directions) {
        silentForNew = Set.copyOf(directions);
    }

    /** Drops all bytes in both directions, for open connections and for those made until {@link #heal}. */
    public void silenceAll() {
        silenceNew(EnumSet.allOf(Direction.class));
        silenceOpen(EnumSet.allOf(Direction.class));
    }

    /**
     * Sets the delay of bytes in each direction.
     *
     * @param milliseconds delay of bytes read from now on, in milliseconds; 0: none
     */
    public void setDelay(long milliseconds) {
        delayMs = Math.max(0, milliseconds);
    }

    /** Ends refusal, delay and the silence of new connections. Connections that are already silent stay silent. */
    public void heal() {
        silenceNew(Set.of());
        setDelay(0);
        setRefusing(false);
    }

    /** Returns the number of open connections. */
    public int connections() {
        return connections.size();
    }

    @Override
    public synchronized void close() {
        closeListener();
        resetConnections();
    }

    long delayMs() {
        return delayMs;
    }

    void onClosed(RelayConnection connection) {
        connections.remove(connection);
    }

    private void listen() {
        try {
            ServerSocket socket = new ServerSocket();
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress(InetAddress.getByName(options.host()), port), BACKLOG);
            port = socket.getLocalPort();
            listener = socket;
            acceptor = Thread.ofVirtual().name("relay-accept").start(() -> accept(socket));
        } catch (IOException e) {
            throw new UncheckedIOException("cannot listen on " + options.host() + ":" + port, e);
        }
    }

    private void closeListener() {
        try {
            if (listener != null) {
                listener.close();
                // The descriptor stays open, and connections succeed, until the accepting thread has noticed the close.
                acceptor.join();
            }
        } catch (IOException e) {
            throw new UncheckedIOException("cannot close the listener of the relay", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            listener = null;
        }
    }

    private void accept(ServerSocket socket) {
        while (!socket.isClosed()) {
            try {
                Socket client = socket.accept();
                Thread.ofVirtual().name("relay-connect").start(() -> connect(client));
            } catch (IOException e) {
                // The socket was closed or no descriptor is free; the loop condition distinguishes the two.
                Thread.onSpinWait();
            }
        }
    }

    private void connect(Socket client) {
        Socket target = new Socket();
        RelayConnection connection = new RelayConnection(this, client, target, silentForNew);
        connections.add(connection);
        try {
            target.connect(new InetSocketAddress(options.targetHost(), options.targetPort()), CONNECT_TIMEOUT_MS);
            connection.startPumps();
        } catch (IOException e) {
            connection.reset();
        }
    }
}
