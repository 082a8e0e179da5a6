package org.verbenatally.core;

/**
 * Identifies a rule that sends requests of one host and path prefix to services.
 *
 * @param value 1 to 128 characters out of letters, digits, dot, underscore, colon and hyphen
 */
public record RouteName(String value) {

    /**
     * Checks the value.
     *
     * @throws IllegalArgumentException if the value is empty, too long or holds another character
     */
    public RouteName {
        Names.check("route name", value);
    }

    @Override
    public String toString() {
        return value;
    }
}
