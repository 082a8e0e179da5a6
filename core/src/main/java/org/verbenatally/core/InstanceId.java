package org.verbenatally.core;

/**
 * Identifies one entry instance, as its settings and the platform's instance list name it.
 *
 * @param value 1 to 128 characters out of letters, digits, dot, underscore, colon and hyphen
 */
public record InstanceId(String value) implements Comparable<InstanceId> {

    /**
     * Checks the value.
     *
     * @throws IllegalArgumentException if the value is empty, too long or holds another character
     */
    public InstanceId {
        Names.check("instance id", value);
    }

    @Override
    public int compareTo(InstanceId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
