package org.verbenatally.core;

/**
 * Identifies a group of targets that serve the same requests.
 *
 * @param value 1 to 128 characters out of letters, digits, dot, underscore, colon and hyphen
 */
public record ServiceName(String value) {

    /**
     * Checks the value.
     *
     * @throws IllegalArgumentException if the value is empty, too long or holds another character
     */
    public ServiceName {
        Names.check("service name", value);
    }

    @Override
    public String toString() {
        return value;
    }
}
