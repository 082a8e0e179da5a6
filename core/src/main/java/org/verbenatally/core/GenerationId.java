package org.verbenatally.core;

import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.Objects;
import java.util.regex.Pattern;

/**
 * Identifies one attempt to generate a response on an engine. A retry on another engine gets a new id.
 *
 * @param value 32 lower-case hexadecimal digits (128 bits)
 */
public record GenerationId(String value) {
    private static final int BYTES = 16;
    private static final Pattern SYNTAX = Pattern.compile("[0-9a-f]{32}");
    private static final SecureRandom RANDOM = new SecureRandom();

    /**
     * Checks the value.
     *
     * @throws IllegalArgumentException if the value is not 32 lower-case hexadecimal digits
     */
    public GenerationId {
        Objects.requireNonNull(value, "generation id");
        if (!SYNTAX.matcher(value).matches()) {
            throw new IllegalArgumentException("generation id must be 32 lower-case hexadecimal digits");
        }
    }

    /** Returns a new random id. */
    public static GenerationId random() {
        byte[] bytes = new byte[BYTES];
        RANDOM.nextBytes(bytes);
        return new GenerationId(HexFormat.of().formatHex(bytes));
    }

    @Override
    public String toString() {
        return value;
    }
}
