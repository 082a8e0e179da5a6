package org.verbenatally.standin;

/**
 * Options of the platform stand-in.
 *
 * @param id source id in the history
 * @param host IP address to listen on
 * @param port port to listen on; 0: any free port
 * @param instanceLagMs time until a change of the instance list becomes visible, in milliseconds
 * @param readsPerSecond maximum number of reads served per second, over all readers; further ones get status 429
 * @param maxWaitMs longest time that a watch waits, in milliseconds
 * @param weightLoadMs time for which one load occupies the weight store, in milliseconds; loads are queued
 * @param history file to which the history is appended; empty: the history is kept in memory only
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

    /** Checks that the values are within their ranges. */
    public PlatformOptions {
        if (instanceLagMs < 0 || readsPerSecond < 1 || maxWaitMs < 0 || weightLoadMs < 0) {
            throw new IllegalArgumentException("platform options must not be negative, and readsPerSecond at least 1");
        }
    }
}
