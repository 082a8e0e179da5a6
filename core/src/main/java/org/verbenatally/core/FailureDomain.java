package org.verbenatally.core;

/**
 * Names a failure domain: the set of instances that one outage can take down together.
 *
 * @param value 1 to 128 characters: letters, digits, dots, underscores, colons and hyphens
 */
public record FailureDomain(String value) implements Comparable<FailureDomain> {

    /**
     * Checks the value.
     *
     * @throws IllegalArgumentException if the value is empty, is too long or contains any other character
     */
    public FailureDomain {
        IdSyntax.check("failure domain", value);
    }

    @Override
    public int compareTo(FailureDomain other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
