package org.verbenatally.core;

import java.util.Objects;

/**
 * Address on which a process listens.
 *
 * @param host an IP address; host names are not resolved
 * @param port 1 to 65,535
 */
public record Address(String host, int port) {
    private static final int MAX_PORT = 65_535;
    private static final int MAX_HOST_LENGTH = 255;

    /**
     * Checks the components.
     *
     * @throws IllegalArgumentException if the host is blank, too long or contains a character that no host has, or the
     *     port is out of range
     */
    public Address {
        Objects.requireNonNull(host, "host");
        if (host.isBlank()) {
            throw new IllegalArgumentException("host must not be blank");
        }
        if (host.length() > MAX_HOST_LENGTH || !host.chars().allMatch(Address::isHostCharacter)) {
            throw new IllegalArgumentException("host must contain only letters, digits and the characters .:-_[]%");
        }
        if (port < 1 || port > MAX_PORT) {
            throw new IllegalArgumentException("port must be 1 to 65535: " + port);
        }
    }

    /**
     * Parses {@code host:port}.
     *
     * @throws IllegalArgumentException if the text does not have this form
     */
    public static Address parse(String text) {
        int colon = text.lastIndexOf(':');
        // The parser of integers also accepts a plus sign and digits outside ASCII.
        if (colon < 1 || !text.substring(colon + 1).chars().allMatch(Address::isDigit)) {
            throw new IllegalArgumentException("address must be host:port: " + text);
        }
        try {
            return new Address(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("address must be host:port: " + text, e);
        }
    }

    private static boolean isDigit(int c) {
        return c >= '0' && c <= '9';
    }

    private static boolean isHostCharacter(int c) {
        return isDigit(c) || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || ".:-_[]%".indexOf(c) >= 0;
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
