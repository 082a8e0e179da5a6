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

    // Written out: the generated method of a record looks up its components by method handles, which the first-tier
    // compiler does not inline, and ids are compared for each row that peers pass on.
    @Override
    public boolean equals(Object other) {
        return other instanceof InstanceId that && value.equals(that.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
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
