package org.verbenatally.core;

/**
 * Identifies a group of targets that serve the same requests.
 *
 * @param value 1 to 128 characters: letters, digits, dots, underscores, colons and hyphens
 */
public record ServiceName(String value) {

    /**
     * Checks the value.
     *
     * @throws IllegalArgumentException if the value is empty, is too long or contains any other character
     */
    public ServiceName {
        IdSyntax.check("service name", value);
    }

    @Override
    public String toString() {
        return value;
    }
}
