package org.verbenatally.standin;

/**
 * Options of a TCP relay.
 *
 * @param host IP number to listen on
 * @param port port; 0 takes a free one
 * @param targetHost IP number to connect to
 * @param targetPort port to connect to
 */
public record RelayOptions(String host, int port, String targetHost, int targetPort) {

    /** Returns a relay on a free loopback port to a loopback target. */
    public static RelayOptions to(int targetPort) {
        return new RelayOptions("127.0.0.1", 0, "127.0.0.1", targetPort);
    }

    /** Checks the ports. */
    public RelayOptions {
        if (port < 0 || port > 65_535 || targetPort < 1 || targetPort > 65_535) {
            throw new IllegalArgumentException("ports must be within 0..65535, the target port positive");
        }
    }
}
