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

    /** Reserves memory for bytes that have arrived; returns whether there was enough. */
    boolean reserve(int bytes) {
        if (reserved.addAndGet(bytes) <= limit) {
            return true;
        }
        reserved.addAndGet(-bytes);
        return false;
    }

    void release(int bytes) {
        reserved.addAndGet(-bytes);
    }

    long reserved() {
        return reserved.get();
    }
}
