package org.verbenatally.standin;

/**
 * Options of a plain service stand-in.
 *
 * @param id target id
 * @param host IP address to listen on
 * @param port port to listen on; 0: any free port
 * @param serviceMs shortest duration of a call, in milliseconds
 * @param jitterMs maximum random time added to the duration of a call, in milliseconds
 * @param maxRunning maximum number of calls that run at once; further ones wait
 * @param maxWaiting maximum number of calls that wait; further ones are refused as {@code full}
 * @param leaving whether new calls are refused as {@code leaving}
 * @param fault fault injected into calls: {@code none}, {@code reset-before-run}, {@code reset-after-run},
 *     {@code hang-before-run} or {@code hang-after-run}
 * @param faultCount number of calls that the fault still affects; -1: unlimited
 * @param seed seed of the random jitter
 * @param history file to which the history is appended; empty: the history is kept in memory only
 */
public record ServiceOptions(
        String id,
        String host,
        int port,
        long serviceMs,
        long jitterMs,
        int maxRunning,
        int maxWaiting,
        boolean leaving,
        String fault,
        long faultCount,
        long seed,
        String history) {

    /** Returns the defaults. */
    public static ServiceOptions defaults(String id) {
        return new ServiceOptions(id, "127.0.0.1", 0, 4, 8, 32, 256, false, "none", -1, 1, "");
    }

    /** Checks that the values are within their ranges and that the fault is known. */
    public ServiceOptions {
        if (serviceMs < 0 || jitterMs < 0 || maxRunning < 1 || maxWaiting < 0) {
            throw new IllegalArgumentException("service options must not be negative, and maxRunning at least 1");
        }
        switch (fault) {
            case "none", "reset-before-run", "reset-after-run", "hang-before-run", "hang-after-run" -> {}
            default -> throw new IllegalArgumentException("unknown service fault " + fault);
        }
    }
}
