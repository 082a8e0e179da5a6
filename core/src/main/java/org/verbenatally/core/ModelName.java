package org.verbenatally.core;

/**
 * Names a model that engines can load.
 *
 * @param value 1 to 128 characters: letters, digits, dots, underscores, colons and hyphens
 */
public record ModelName(String value) implements Comparable<ModelName> {

    /**
     * Checks the value.
     *
     * @throws IllegalArgumentException if the value is empty, is too long or contains any other character
     */
    public ModelName {
        IdSyntax.check("model name", value);
    }

    @Override
    public int compareTo(ModelName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
