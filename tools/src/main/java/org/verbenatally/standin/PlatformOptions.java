package org.verbenatally.standin;

/**
 * Options of the platform stand-in.
 *
 * @param id name in the history
 * @param host IP number to listen on
 * @param port port; 0 takes a free one
 * @param instanceLagMs time until a change of the instance list shows, in milliseconds
 * @param readsPerSecond reads that are answered within one second, over all readers; more get status 429
 * @param maxWaitMs longest time that a watch waits, in milliseconds
 * @param weightLoadMs time that the weight store is busy with one load; loads queue up
 * @param history file to append the history to; empty: memory only
 */
public record PlatformOptions(
        String id,
        String host,
        int port,
        long instanceLagMs,
        int readsPerSecond,
        long maxWaitMs,
        long weightLoadMs,
        String history) {

    /** Returns the defaults. */
    public static PlatformOptions defaults() {
        return new PlatformOptions("platform", "127.0.0.1", 0, 2_000, 2_000, 60_000, 2_000, "");
    }

    /** Checks ranges. */
    public PlatformOptions {
        if (instanceLagMs < 0 || readsPerSecond < 1 || maxWaitMs < 0 || weightLoadMs < 0) {
            throw new IllegalArgumentException("platform options must not be negative, readsPerSecond at least 1");
        }
    }
}
