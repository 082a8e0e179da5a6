package org.verbenatally.core;

/**
 * Identifies an entry instance, as named in its settings and in the platform's instance list.
 *
 * @param value 1 to 128 characters: letters, digits, dots, underscores, colons and hyphens
 */
public record InstanceId(String value) implements Comparable<InstanceId> {

    /**
     * Checks the value.
     *
     * @throws IllegalArgumentException if the value is empty, is too long or contains any other character
     */
    public InstanceId {
        IdSyntax.check("instance id", value);
    }

    // Written by hand: the equals and hashCode methods generated for a record access its components through method
    // handles, which the first-tier compiler (C1) does not inline, and ids are compared for each record that peers pass
    // on.
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
