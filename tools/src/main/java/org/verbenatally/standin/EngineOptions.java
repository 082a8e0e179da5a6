package org.verbenatally.standin;

import java.util.Map;

/**
 * Options of an engine stand-in. {@code docs/standins.md} explains the timing model.
 *
 * @param id target id
 * @param host IP number to listen on
 * @param port port; 0 takes a free one
 * @param models loaded models, separated by spaces, each {@code model[@version][+adapter...]}; {@code *}: any model
 * @param role role of the engine
 * @param maxModels models that fit; a further one replaces the one ordered longest ago
 * @param stepBaseMs time of a step without sequences, in milliseconds
 * @param stepPerSequenceMs time added by each sequence that decodes, in milliseconds
 * @param prefillPerTokenMs time added by each prompt token that is processed, in milliseconds
 * @param prefillTokensPerStep prompt tokens processed in one step, over all sequences
 * @param maxBatch sequences that run at once
 * @param maxWaiting requests that wait; more are refused as {@code full}
 * @param kvTokens size of the key-value memory, in tokens
 * @param prefixCacheTokens most of the free key-value memory that cached prefixes use, in tokens
 * @param cacheEventDelayMs time until a cache event shows, in milliseconds
 * @param cacheEventGapShare share of cache events that never show
 * @param reportLagMs age of the load reports, in milliseconds
 * @param detachedDecodeMs time for which a generation without a connection is decoded, in milliseconds
 * @param retainMs time for which a finished generation is kept, in milliseconds
 * @param heartbeatMs time between two heartbeat comments, in milliseconds
 * @param modelLoadMs time to load a model, in milliseconds; loads run one after the other
 * @param adapterLoadMs time to load an adapter, in milliseconds
 * @param weightStore {@code host:port} of a platform stand-in that serves weights; empty: no shared store
 * @param checksFence whether orders with an old fencing number are refused
 * @param leaving whether new work is refused as {@code leaving}
 * @param defaultLength output length of a prompt without a {@code [len=N]} marker, in tokens
 * @param seed seed of the gaps between cache events
 * @param history file to append the history to; empty: memory only
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
     * Returns the defaults: a full batch of 32 takes 35 ms a step and at most 5 ms more while prompts are processed, so
     * that 54 ms between tokens is met unless the memory is overcommitted.
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
     * Returns these options with some changed.
     *
     * @param changes values by the name of the option
     */
    public EngineOptions with(Map<String, ?> changes) {
        return OptionRecords.with(this, changes);
    }

    /** Checks ranges. */
    public EngineOptions {
        if (stepBaseMs <= 0 || stepPerSequenceMs < 0 || prefillPerTokenMs < 0) {
            throw new IllegalArgumentException("step times must not be negative, stepBaseMs positive");
        }
        if (maxBatch < 1 || maxWaiting < 0 || kvTokens < 16 || prefillTokensPerStep < 1 || maxModels < 1) {
            throw new IllegalArgumentException("maxBatch, prefillTokensPerStep and maxModels must be at least 1, "
                    + "kvTokens at least 16, maxWaiting not negative");
        }
        if (cacheEventGapShare < 0 || cacheEventGapShare > 1 || heartbeatMs < 1 || defaultLength < 1) {
            throw new IllegalArgumentException(
                    "cacheEventGapShare must be within 0..1, heartbeatMs and defaultLength at least 1");
        }
    }
}
