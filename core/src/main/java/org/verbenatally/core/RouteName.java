package org.verbenatally.core;

/**
 * Identifies a route, a rule that sends the requests for one host and path prefix to services.
 *
 * @param value 1 to 128 characters: letters, digits, dots, underscores, colons and hyphens
 */
public record RouteName(String value) {

    /**
     * Checks the value.
     *
     * @throws IllegalArgumentException if the value is empty, is too long or contains any other character
     */
    public RouteName {
        IdSyntax.check("route name", value);
    }

    @Override
    public String toString() {
        return value;
    }
}
