package org.verbenatally.core;

/**
 * Names a kind of work of a deployment, such as {@code quote-check}.
 *
 * @param value 1 to 128 characters out of letters, digits, dot, underscore, colon and hyphen
 */
public record KindName(String value) implements Comparable<KindName> {

    /**
     * Checks the value.
     *
     * @throws IllegalArgumentException if the value is empty, too long or holds another character
     */
    public KindName {
        Names.check("kind name", value);
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
