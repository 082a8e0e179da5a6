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

/** One relayed connection: a reader and a writer for each direction, with a queue between them that holds the delay. */
final class RelayConnection {
    private static final int BUFFER_BYTES = 16_384;
    private static final int QUEUED_CHUNKS = 1_024;

    /** Bytes and the time at which they may be written; no bytes: the end of the stream. */
    private record Chunk(long dueNanos, byte[] bytes) {}

    private final TcpRelay relay;
    private final Socket client;
    private final Socket target;
    private volatile Set<Direction> silent;
    private int openDirections = 2;

    RelayConnection(TcpRelay relay, Socket client, Socket target, Set<Direction> silent) {
        this.relay = relay;
        this.client = client;
        this.target = target;
        this.silent = silent;
    }

    void run() throws IOException {
        client.setTcpNoDelay(true);
        target.setTcpNoDelay(true);
        pump(client, target, Direction.TO_TARGET);
        pump(target, client, Direction.TO_CLIENT);
    }

    synchronized void silence(Set<Direction> directions) {
        EnumSet<Direction> all = EnumSet.noneOf(Direction.class);
        all.addAll(silent);
        all.addAll(directions);
        silent = all;
    }

    /** Closes both sides with a reset. */
    void reset() {
        relay.closed(this);
        for (Socket socket : new Socket[] {client, target}) {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException e) {
                // The socket is closed already.
                continue;
            }
        }
    }

    private void pump(Socket from, Socket to, Direction direction) {
        BlockingQueue<Chunk> queue = new LinkedBlockingQueue<>(QUEUED_CHUNKS);
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
            failed();
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
                if (silent.contains(direction)) {
                    continue;
                }
                if (chunk.bytes().length == 0) {
                    finish(to);
                    return;
                }
                to.getOutputStream().write(chunk.bytes());
            }
        } catch (IOException e) {
            failed();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** A silent connection does not pass on that the other side is gone. */
    private void failed() {
        if (silent.isEmpty()) {
            reset();
        }
    }

    private synchronized void finish(Socket to) throws IOException {
        openDirections--;
        if (openDirections == 0) {
            relay.closed(this);
            client.close();
            target.close();
        } else {
            to.shutdownOutput();
        }
    }
}
