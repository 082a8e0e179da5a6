package org.verbenatally.standin;

/**
 * Options of a plain service stand-in.
 *
 * @param id target id
 * @param host IP number to listen on
 * @param port port; 0 takes a free one
 * @param serviceMs shortest time of a call, in milliseconds
 * @param jitterMs most time added at random, in milliseconds
 * @param maxRunning calls that run at once; more wait
 * @param maxWaiting calls that wait; more are refused as {@code full}
 * @param leaving whether new calls are refused as {@code leaving}
 * @param fault what goes wrong with calls: {@code none}, {@code reset-before-run}, {@code reset-after-run},
 *     {@code hang-before-run} or {@code hang-after-run}
 * @param faultCount calls that the fault hits before it ends; -1: no end
 * @param seed seed of the jitter
 * @param history file to append the history to; empty: memory only
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

    /** Checks ranges and the name of the fault. */
    public ServiceOptions {
        if (serviceMs < 0 || jitterMs < 0 || maxRunning < 1 || maxWaiting < 0) {
            throw new IllegalArgumentException("service options must not be negative, maxRunning at least 1");
        }
        switch (fault) {
            case "none", "reset-before-run", "reset-after-run", "hang-before-run", "hang-after-run" -> {}
            default -> throw new IllegalArgumentException("unknown service fault " + fault);
        }
    }
}
