package org.verbenatally.forward;

import java.util.OptionalLong;

/**
 * Token counts that a caller states for a generation: the tokens that an engine generates for one request.
 *
 * @param promptTokens tokens to read
 * @param maxTokens maximum number of tokens to generate
 * @param expectedTokens the caller's own estimate of the tokens to generate; accurate at the median only
 */
public record Generation(long promptTokens, long maxTokens, OptionalLong expectedTokens) {

    /** Largest number of tokens that is counted; a larger one is treated as this one, so that sums cannot overflow. */
    private static final long MAX_TOKENS = 1_000_000_000;

    /** Bounds the numbers of tokens. */
    public Generation {
        promptTokens = Math.min(promptTokens, MAX_TOKENS);
        maxTokens = Math.min(maxTokens, MAX_TOKENS);
        if (expectedTokens.isPresent() && expectedTokens.getAsLong() > MAX_TOKENS) {
            expectedTokens = OptionalLong.of(MAX_TOKENS);
        }
    }

    /** Generations that are expected to generate fewer tokens end before a copy of them would be of use. */
    private static final long MIN_LONG_TOKENS = 100;

    /** A generation about which the caller states nothing. */
    static final Generation UNKNOWN = new Generation(1_000, 1_000, OptionalLong.empty());

    /** Returns whether a generation that has not started is likely to outlast the notice period of a leaving engine. */
    boolean isLong() {
        return isLong(0);
    }

    /**
     * Returns whether the rest of the generation is likely to outlast the notice period of a leaving engine.
     *
     * @param generated tokens generated so far
     */
    boolean isLong(long generated) {
        return expectedRemaining(generated) >= MIN_LONG_TOKENS;
    }

    /**
     * Returns the number of tokens that the generation is still expected to generate. One that has exceeded its
     * estimate is likely to continue for about half as long again.
     *
     * @param generated tokens generated so far
     */
    long expectedRemaining(long generated) {
        long expected = Math.min(maxTokens, expectedTokens.orElse(maxTokens / 2));
        return Math.min(
                generated < expected ? expected - generated : generated / 2, Math.max(0, maxTokens - generated));
    }

    /**
     * Returns the memory that the generation needs on average until its end, in tokens. The generations of an engine
     * end at different times, so planning for the end of each would leave much of the memory unused.
     *
     * @param generated tokens generated so far
     */
    long expectedMemory(long generated) {
        return promptTokens + generated + expectedRemaining(generated) / 2;
    }
}
