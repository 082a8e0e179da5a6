package org.verbenatally.forward;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits the memory that the bodies of all open requests, or of their buffered responses, take together. A request
 * keeps its body until it ends, because it may be sent again. Safe for use by several threads.
 */
final class BodyMemory {
    /** A quarter of the heap each for requests and responses: the other parts of an instance need about half of it. */
    private static final long DEFAULT_BYTES = Runtime.getRuntime().maxMemory() / 4;

    private final long limit;
    private final AtomicLong reserved = new AtomicLong();

    BodyMemory() {
        this(DEFAULT_BYTES);
    }

    BodyMemory(long limit) {
        this.limit = limit;
    }

    /** Memory of one exchange. All of it is returned when it is closed; nothing can be added after that. */
    final class Reservation implements AutoCloseable {
        private long bytes;
        private boolean closed;

        private Reservation() {}

        /** Reserves memory for bytes that have arrived; returns whether there was enough, and it is still open. */
        synchronized boolean add(int more) {
            return !closed && tryResize(bytes + more);
        }

        /** Changes what is reserved, in bytes; returns whether there was enough, and it is still open. */
        synchronized boolean resize(long size) {
            return !closed && tryResize(size);
        }

        private boolean tryResize(long size) {
            long change = size - bytes;
            if (reserved.addAndGet(change) > limit && change > 0) {
                reserved.addAndGet(-change);
                return false;
            }
            bytes = size;
            return true;
        }

        /** Returns the memory. Has no effect if it was returned before. */
        @Override
        public synchronized void close() {
            closed = true;
            reserved.addAndGet(-bytes);
            bytes = 0;
        }
    }

    /** Opens a reservation of no bytes. */
    Reservation open() {
        return new Reservation();
    }

    /** Returns the memory of all open reservations, in bytes. */
    long reserved() {
        return reserved.get();
    }
}
