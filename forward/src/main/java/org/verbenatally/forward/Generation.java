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

    /** Stands for a generation whose caller tells nothing about it. */
    static final Generation UNKNOWN = new Generation(1_000, 1_000, OptionalLong.empty());

    /** Returns the memory that the generation is expected to hold at its end, in tokens. */
    long expectedMemory() {
        return promptTokens + Math.min(maxTokens, expectedTokens.orElse(maxTokens / 2));
    }
}
