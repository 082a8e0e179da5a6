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

    /**
     * Checks the components.
     *
     * @throws IllegalArgumentException if the host is blank or the port is out of range
     */
    public Address {
        Objects.requireNonNull(host, "host");
        if (host.isBlank()) {
            throw new IllegalArgumentException("host must not be blank");
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
        if (colon < 1) {
            throw new IllegalArgumentException("address must be host:port: " + text);
        }
        try {
            return new Address(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("address must be host:port: " + text, e);
        }
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
