package org.verbenatally.core;

/**
 * Identifies a target: a model engine or a plain service.
 *
 * @param value 1 to 128 characters: letters, digits, dots, underscores, colons and hyphens
 */
public record TargetId(String value) implements Comparable<TargetId> {

    /**
     * Checks the value.
     *
     * @throws IllegalArgumentException if the value is empty, is too long or contains any other character
     */
    public TargetId {
        IdSyntax.check("target id", value);
    }

    // Written by hand: the equals and hashCode methods generated for a record access its components through method
    // handles, which the first-tier compiler (C1) does not inline, and ids are compared for each record that peers pass
    // on.
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
