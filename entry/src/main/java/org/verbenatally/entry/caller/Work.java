package org.verbenatally.entry.caller;

import java.util.Objects;

import org.verbenatally.config.Kind;
import org.verbenatally.config.Organisation;
import org.verbenatally.policy.Fingerprint;

/**
 * A generation that a caller asks for.
 *
 * @param kind the kind of work
 * @param organisation whose work it is
 * @param prompt the prompt
 * @param maxTokens longest output, in tokens
 * @param prefixHash hash of the leading part of the prompt
 * @param fingerprint identifies equal requests
 * @param startNanos when the request arrived, on the monotonic clock
 * @param deadlineNanos when it must be complete, on the monotonic clock
 */
record Work(
        Kind kind,
        Organisation organisation,
        String prompt,
        int maxTokens,
        long prefixHash,
        Fingerprint fingerprint,
        long startNanos,
        long deadlineNanos) {

    private static final int CHARS_PER_TOKEN = 4;

    Work {
        Objects.requireNonNull(prompt, "prompt");
        if (maxTokens < 1) {
            throw new IllegalArgumentException("maxTokens must be positive");
        }
    }

    /** Estimates the length of the prompt, in tokens. */
    int promptTokens() {
        return Math.max(1, prompt.length() / CHARS_PER_TOKEN);
    }
}
