package org.verbenatally.core;

/**
 * The version of a deployment document. A higher version replaces a lower one, never the reverse.
 *
 * @param value 0 (no document yet) or a positive number
 */
public record ConfigVersion(long value) implements Comparable<ConfigVersion> {

    /** The version before any document has been accepted. */
    public static final ConfigVersion NONE = new ConfigVersion(0);

    /**
     * Checks the value.
     *
     * @throws IllegalArgumentException if the value is negative
     */
    public ConfigVersion {
        if (value < 0) {
            throw new IllegalArgumentException("config version must not be negative: " + value);
        }
    }

    @Override
    public int compareTo(ConfigVersion other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
