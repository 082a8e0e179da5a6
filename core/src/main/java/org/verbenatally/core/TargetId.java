package org.verbenatally.core;

/**
 * Identifies a target: a model engine or a plain service.
 *
 * @param value 1 to 128 characters out of letters, digits, dot, underscore, colon and hyphen
 */
public record TargetId(String value) implements Comparable<TargetId> {

    /**
     * Checks the value.
     *
     * @throws IllegalArgumentException if the value is empty, too long or holds another character
     */
    public TargetId {
        Names.check("target id", value);
    }

    // Written out: the generated method of a record looks up its components by method handles, which the first-tier
    // compiler does not inline, and ids are compared for each row that peers pass on.
    @Override
    public boolean equals(Object other) {
        return other instanceof TargetId that && value.equals(that.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }

    @Override
    public int compareTo(TargetId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
