package org.verbenatally.standin;

/**
 * Options of a TCP relay.
 *
 * @param host IP address to listen on
 * @param port port to listen on; 0: any free port
 * @param targetHost IP address to connect to
 * @param targetPort port to connect to
 */
public record RelayOptions(String host, int port, String targetHost, int targetPort) {

    /** Returns the options of a relay from a free loopback port to a target on the loopback address. */
    public static RelayOptions toLoopback(int targetPort) {
        return new RelayOptions("127.0.0.1", 0, "127.0.0.1", targetPort);
    }

    /** Checks that the ports are within their ranges. */
    public RelayOptions {
        if (port < 0 || port > 65_535 || targetPort < 1 || targetPort > 65_535) {
            throw new IllegalArgumentException("ports must be within 0..65535, and the target port must be positive");
        }
    }
}
