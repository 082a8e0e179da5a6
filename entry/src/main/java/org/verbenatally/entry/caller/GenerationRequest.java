package org.verbenatally.entry.caller;

import java.util.Objects;

import org.verbenatally.config.Kind;
import org.verbenatally.config.Organisation;
import org.verbenatally.policy.Fingerprint;

/**
 * A caller's request for a generation.
 *
 * @param kind the kind of work
 * @param organisation organisation whose request it is
 * @param prompt the prompt
 * @param maxTokens maximum length of the output, in tokens
 * @param prefixHash hash of the prompt's prefix
 * @param fingerprint equal for equal requests
 * @param startNanos when the request arrived, on the monotonic clock
 * @param deadlineNanos when it must be complete, on the monotonic clock
 */
record GenerationRequest(
        Kind kind,
        Organisation organisation,
        String prompt,
        int maxTokens,
        long prefixHash,
        Fingerprint fingerprint,
        long startNanos,
        long deadlineNanos) {

    private static final int ESTIMATED_CHARS_PER_TOKEN = 4;

    GenerationRequest {
        Objects.requireNonNull(prompt, "prompt");
        if (maxTokens < 1) {
            throw new IllegalArgumentException("maxTokens must be positive");
        }
    }

    /** Returns the estimated length of the prompt, in tokens. */
    int promptTokens() {
        return Math.max(1, prompt.length() / ESTIMATED_CHARS_PER_TOKEN);
    }
}
