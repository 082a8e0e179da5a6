package org.verbenatally.core;

import java.util.Objects;

/**
 * Something that a request may have in common with others and that may make it crash its target: its whole content, the
 * start of its prompt, or one part of its prompt.
 *
 * @param value 1 to {@value #MAX_LENGTH} characters: what the trait is, a colon, and an id or a hash
 */
public record Trait(String value) {
    private static final int MAX_LENGTH = 160;
    private static final String PROMPT_PART = "part:";

    /**
     * Checks the value.
     *
     * @throws IllegalArgumentException if the value is empty or too long
     */
    public Trait {
        Objects.requireNonNull(value, "value");
        if (value.isEmpty() || value.length() > MAX_LENGTH) {
            throw new IllegalArgumentException("trait must be 1 to " + MAX_LENGTH + " characters long");
        }
    }

    /** Returns the trait that all requests with a part in their prompts have in common. */
    public static Trait of(PromptPartId part) {
        return new Trait(PROMPT_PART + part);
    }

    /** Returns the trait that all requests with the same start of their prompts have in common. */
    public static Trait ofPrefix(long hash) {
        return new Trait("prefix:" + Long.toHexString(hash));
    }

    /** Returns whether this is a part of a prompt. */
    public boolean isPromptPart() {
        return value.startsWith(PROMPT_PART);
    }

    // Written by hand for the same reason as in TargetId: traits are looked up for each request.
    @Override
    public boolean equals(Object other) {
        return other instanceof Trait that && value.equals(that.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }

    @Override
    public String toString() {
        return value;
    }
}
