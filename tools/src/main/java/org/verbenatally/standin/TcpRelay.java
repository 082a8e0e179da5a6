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
 * Relays TCP connections from one address to another and breaks them on request. Each connection has virtual threads of
 * its own.
 *
 * <p>A connection that was silenced stays open and silent for its whole life, as real ones do whose state was lost on
 * the way; ending the silence affects only connections made later.
 */
public final class TcpRelay implements AutoCloseable {
    /** The ways through a relay. */
    public enum Direction {
        /** From the side that connected to the target. */
        TO_TARGET,
        /** From the target to the side that connected. */
        TO_CLIENT
    }

    private static final int BACKLOG = 512;
    private static final int CONNECT_TIMEOUT_MS = 5_000;

    private final RelayOptions options;
    private final Set<RelayConnection> connections = ConcurrentHashMap.newKeySet();
    private volatile Set<Direction> silentNew = Set.of();
    private volatile long delayMs;
    private ServerSocket server;
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
    public void cut() {
        connections.forEach(RelayConnection::reset);
    }

    /** Refuses new connections (the listener is closed), or accepts them again. Open connections stay. */
    public synchronized void refuse(boolean on) {
        if (on) {
            closeServer();
        } else if (server == null) {
            listen();
        }
    }

    /**
     * Drops all bytes of the connections that are open now, for good.
     *
     * @param directions the directions that go silent
     */
    public void silenceOpen(Set<Direction> directions) {
        connections.forEach(connection -> connection.silence(directions));
    }

    /**
     * Sets whether connections made from now on are silent.
     *
     * @param directions the directions that are silent; empty: none
     */
    public void silenceNew(Set<Direction> directions) {
        silentNew = Set.copyOf(directions);
    }

    /** Drops all bytes in both directions, of open connections and of those made until {@link #heal}. */
    public void silenceAll() {
        silenceNew(EnumSet.allOf(Direction.class));
        silenceOpen(EnumSet.allOf(Direction.class));
    }

    /**
     * Delays bytes in each direction.
     *
     * @param milliseconds delay of bytes read from now on; 0: none
     */
    public void delay(long milliseconds) {
        delayMs = Math.max(0, milliseconds);
    }

    /** Ends refusal, delay and the silence of new connections; connections that went silent stay silent. */
    public void heal() {
        silenceNew(Set.of());
        delay(0);
        refuse(false);
    }

    /** Returns the number of open connections. */
    public int connections() {
        return connections.size();
    }

    @Override
    public synchronized void close() {
        closeServer();
        cut();
    }

    long delayMs() {
        return delayMs;
    }

    void closed(RelayConnection connection) {
        connections.remove(connection);
    }

    private void listen() {
        try {
            ServerSocket socket = new ServerSocket();
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress(InetAddress.getByName(options.host()), port), BACKLOG);
            port = socket.getLocalPort();
            server = socket;
            acceptor = Thread.ofVirtual().name("relay-accept").start(() -> accept(socket));
        } catch (IOException e) {
            throw new UncheckedIOException("cannot listen on " + options.host() + ":" + port, e);
        }
    }

    private void closeServer() {
        try {
            if (server != null) {
                server.close();
                // The descriptor stays open, and connections succeed, until the accepting thread has noticed.
                acceptor.join();
            }
        } catch (IOException e) {
            throw new UncheckedIOException("cannot close the listener", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            server = null;
        }
    }

    private void accept(ServerSocket socket) {
        while (!socket.isClosed()) {
            try {
                Socket client = socket.accept();
                Thread.ofVirtual().name("relay-connect").start(() -> connect(client));
            } catch (IOException e) {
                // Closed, or out of descriptors; the loop condition tells which.
                Thread.onSpinWait();
            }
        }
    }

    private void connect(Socket client) {
        Socket target = new Socket();
        RelayConnection connection = new RelayConnection(this, client, target, silentNew);
        connections.add(connection);
        try {
            target.connect(new InetSocketAddress(options.targetHost(), options.targetPort()), CONNECT_TIMEOUT_MS);
            connection.run();
        } catch (IOException e) {
            connection.reset();
        }
    }
}
