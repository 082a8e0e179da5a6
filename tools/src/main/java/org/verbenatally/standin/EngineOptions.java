package org.verbenatally.standin;

import java.util.Map;

/**
 * Options of an engine stand-in. {@code docs/standins.md} explains the timing model.
 *
 * @param id target id
 * @param host IP address to listen on
 * @param port port to listen on; 0: any free port
 * @param models loaded models, separated by spaces, each {@code model[@version][+adapter...]}; {@code *}: any model
 * @param role role of the engine
 * @param maxModels number of models that fit; loading another one evicts the one that was loaded longest ago
 * @param stepBaseMs duration of a step without sequences, in milliseconds
 * @param stepPerSequenceMs time added by each sequence that decodes, in milliseconds
 * @param prefillPerTokenMs time added by each prompt token that is processed, in milliseconds
 * @param prefillTokensPerStep maximum number of prompt tokens processed in one step, over all sequences
 * @param maxBatch maximum number of sequences that run at once
 * @param maxWaiting maximum number of requests that wait; further ones are refused as {@code full}
 * @param kvTokens size of the key-value memory, in tokens
 * @param prefixCacheTokens maximum part of the free key-value memory that cached prefixes use, in tokens
 * @param cacheEventDelayMs time until a cache event becomes visible, in milliseconds
 * @param cacheEventGapShare share of cache events that never become visible, 0..1
 * @param reportLagMs age of the load reports, in milliseconds
 * @param detachedDecodeMs time for which a generation without a connection is still decoded, in milliseconds
 * @param retainMs time for which a finished generation is kept, in milliseconds
 * @param heartbeatMs interval between heartbeat comments, in milliseconds
 * @param modelLoadMs time to load a model, in milliseconds; loads run one after the other
 * @param adapterLoadMs time to load an adapter, in milliseconds
 * @param weightStore {@code host:port} of a platform stand-in that serves weights; empty: loads need no shared store
 * @param checksFence whether orders with an outdated fencing number are refused
 * @param leaving whether new work is refused as {@code leaving}
 * @param defaultLength output length of a prompt without a {@code [len=N]} marker, in tokens
 * @param seed seed of the random gaps in the cache events
 * @param history file to which the history is appended; empty: the history is kept in memory only
 */
public record EngineOptions(
        String id,
        String host,
        int port,
        String models,
        String role,
        int maxModels,
        double stepBaseMs,
        double stepPerSequenceMs,
        double prefillPerTokenMs,
        int prefillTokensPerStep,
        int maxBatch,
        int maxWaiting,
        int kvTokens,
        int prefixCacheTokens,
        long cacheEventDelayMs,
        double cacheEventGapShare,
        long reportLagMs,
        long detachedDecodeMs,
        long retainMs,
        long heartbeatMs,
        long modelLoadMs,
        long adapterLoadMs,
        String weightStore,
        boolean checksFence,
        boolean leaving,
        int defaultLength,
        long seed,
        String history) {

    /**
     * Returns the defaults. A step with a full batch of 32 takes 35 ms, and at most 5 ms more while prompts are
     * processed, so a token gap of 54 ms is met unless the memory is overcommitted.
     */
    public static EngineOptions defaults(String id) {
        return new EngineOptions(
                id,
                "127.0.0.1",
                0,
                "*",
                "serve",
                2,
                16,
                0.6,
                0.01,
                512,
                32,
                256,
                49_152,
                16_384,
                1_000,
                0.05,
                500,
                30_000,
                60_000,
                500,
                3_000,
                500,
                "",
                false,
                false,
                64,
                1,
                "");
    }

    /**
     * Returns a copy of these options with some values replaced.
     *
     * @param changes new values by option name
     */
    public EngineOptions with(Map<String, ?> changes) {
        return OptionRecords.with(this, changes);
    }

    /** Checks that the values are within their ranges. */
    public EngineOptions {
        if (stepBaseMs <= 0 || stepPerSequenceMs < 0 || prefillPerTokenMs < 0) {
            throw new IllegalArgumentException("step times must not be negative, and stepBaseMs must be positive");
        }
        if (maxBatch < 1 || maxWaiting < 0 || kvTokens < 16 || prefillTokensPerStep < 1 || maxModels < 1) {
            throw new IllegalArgumentException("maxBatch, prefillTokensPerStep and maxModels must be at least 1, "
                    + "kvTokens at least 16, and maxWaiting must not be negative");
        }
        if (cacheEventGapShare < 0 || cacheEventGapShare > 1 || heartbeatMs < 1 || defaultLength < 1) {
            throw new IllegalArgumentException(
                    "cacheEventGapShare must be within 0..1, and heartbeatMs and defaultLength at least 1");
        }
    }
}
