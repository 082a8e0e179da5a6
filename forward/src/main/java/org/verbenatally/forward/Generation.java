package org.verbenatally.forward;

import java.util.OptionalLong;

/**
 * What a caller tells about the generation it asks for.
 *
 * @param promptTokens tokens to read
 * @param maxTokens most tokens to make
 * @param expectedTokens the caller's own estimate of the tokens to make; right at the median only
 */
public record Generation(long promptTokens, long maxTokens, OptionalLong expectedTokens) {

    /** Generations that are expected to make fewer tokens end before a copy of them would be of use. */
    private static final long MIN_LONG_TOKENS = 100;

    /** Stands for a generation whose caller tells nothing about it. */
    static final Generation UNKNOWN = new Generation(1_000, 1_000, OptionalLong.empty());

    /** Tells whether a generation that has not begun is likely to outlive the notice that its engine leaves. */
    boolean isLong() {
        return isLong(0);
    }

    /**
     * Tells whether the rest of the generation is likely to outlive the notice that its engine leaves.
     *
     * @param generated tokens made so far
     */
    boolean isLong(long generated) {
        return expectedRemaining(generated) >= MIN_LONG_TOKENS;
    }

    /**
     * Returns the tokens that the generation is expected to make yet. One that has outgrown the estimate is likely to
     * go on for about half as long again.
     *
     * @param generated tokens made so far
     */
    long expectedRemaining(long generated) {
        long expected = Math.min(maxTokens, expectedTokens.orElse(maxTokens / 2));
        return Math.min(
                generated < expected ? expected - generated : generated / 2, Math.max(0, maxTokens - generated));
    }

    /**
     * Returns the memory that the generation needs on average until its end, in tokens. Generations of one engine end
     * at different times, so planning for the end of each would leave much of the memory unused.
     *
     * @param generated tokens made so far
     */
    long expectedMemory(long generated) {
        return promptTokens + generated + expectedRemaining(generated) / 2;
    }
}
