package org.verbenatally.standin;

import java.io.IOException;
import java.net.Socket;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.verbenatally.standin.TcpRelay.Direction;

/** One relayed connection: for each direction a reader and a writer, with a queue between them that adds the delay. */
final class RelayConnection {
    private static final int BUFFER_BYTES = 16_384;
    private static final int MAX_QUEUED_CHUNKS = 1_024;

    /** Bytes and the time after which they may be written; an empty array marks the end of the stream. */
    private record Chunk(long dueNanos, byte[] bytes) {}

    private final TcpRelay relay;
    private final Socket client;
    private final Socket target;
    private volatile Set<Direction> silentDirections;
    private int openDirections = 2;

    RelayConnection(TcpRelay relay, Socket client, Socket target, Set<Direction> silentDirections) {
        this.relay = relay;
        this.client = client;
        this.target = target;
        this.silentDirections = silentDirections;
    }

    /** Starts relaying in both directions and returns. */
    void startPumps() throws IOException {
        client.setTcpNoDelay(true);
        target.setTcpNoDelay(true);
        pump(client, target, Direction.TO_TARGET);
        pump(target, client, Direction.TO_CLIENT);
    }

    /** Drops all bytes in the given directions, permanently and in addition to those already silent. */
    synchronized void silence(Set<Direction> directions) {
        EnumSet<Direction> silenced = EnumSet.noneOf(Direction.class);
        silenced.addAll(silentDirections);
        silenced.addAll(directions);
        silentDirections = silenced;
    }

    /** Closes both sides with a reset. */
    void reset() {
        relay.onClosed(this);
        for (Socket socket : new Socket[] {client, target}) {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException e) {
                // The socket is already closed.
                continue;
            }
        }
    }

    private void pump(Socket from, Socket to, Direction direction) {
        BlockingQueue<Chunk> queue = new LinkedBlockingQueue<>(MAX_QUEUED_CHUNKS);
        Thread.ofVirtual().name("relay-read").start(() -> read(from, queue));
        Thread.ofVirtual().name("relay-write").start(() -> write(to, queue, direction));
    }

    private void read(Socket from, BlockingQueue<Chunk> queue) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            while (true) {
                int length = from.getInputStream().read(buffer);
                byte[] bytes = length < 0 ? new byte[0] : Arrays.copyOf(buffer, length);
                queue.put(new Chunk(System.nanoTime() + relay.delayMs() * 1_000_000, bytes));
                if (length < 0) {
                    return;
                }
            }
        } catch (IOException e) {
            onIoError();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void write(Socket to, BlockingQueue<Chunk> queue, Direction direction) {
        try {
            while (true) {
                Chunk chunk = queue.poll(1, TimeUnit.SECONDS);
                if (chunk == null) {
                    if (client.isClosed()) {
                        return;
                    }
                    continue;
                }
                TimeUnit.NANOSECONDS.sleep(chunk.dueNanos() - System.nanoTime());
                if (silentDirections.contains(direction)) {
                    continue;
                }
                if (chunk.bytes().length == 0) {
                    endStream(to);
                    return;
                }
                to.getOutputStream().write(chunk.bytes());
            }
        } catch (IOException e) {
            onIoError();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Resets the connection, unless it is silent: then the failure of one side is not passed on to the other. */
    private void onIoError() {
        if (silentDirections.isEmpty()) {
            reset();
        }
    }

    /** Passes the end of a stream on; closes the connection when both directions have ended. */
    private synchronized void endStream(Socket to) throws IOException {
        openDirections--;
        if (openDirections == 0) {
            relay.onClosed(this);
            client.close();
            target.close();
        } else {
            to.shutdownOutput();
        }
    }
}
