package org.verbenatally.core;

/**
 * Names a kind of work in a deployment, such as {@code quote-check}.
 *
 * @param value 1 to 128 characters: letters, digits, dots, underscores, colons and hyphens
 */
public record KindName(String value) implements Comparable<KindName> {

    /**
     * Checks the value.
     *
     * @throws IllegalArgumentException if the value is empty, is too long or contains any other character
     */
    public KindName {
        IdSyntax.check("kind name", value);
    }

    @Override
    public int compareTo(KindName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
