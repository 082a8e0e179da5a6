package org.verbenatally.core;

/**
 * Identifies the organisation a caller belongs to.
 *
 * @param value 1 to 128 characters: letters, digits, dots, underscores, colons and hyphens
 */
public record OrganisationId(String value) implements Comparable<OrganisationId> {

    /**
     * Checks the value.
     *
     * @throws IllegalArgumentException if the value is empty, is too long or contains any other character
     */
    public OrganisationId {
        IdSyntax.check("organisation id", value);
    }

    @Override
    public int compareTo(OrganisationId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
