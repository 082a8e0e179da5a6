package org.verbenatally.faults;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Free ports for processes that start later or start again on the same port. They lie below the range from which the
 * operating system takes the ports of outgoing connections, so that no connection can occupy them in between.
 */
final class Ports {
    private static final int LOWEST = 10_000;
    private static final int HIGHEST = 32_000;
    private static final int TRIES = 1_000;

    private Ports() {}

    /** Returns a port that is free now. */
    static int pick() {
        for (int i = 0; i < TRIES; i++) {
            int port = ThreadLocalRandom.current().nextInt(LOWEST, HIGHEST);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                return socket.getLocalPort();
            } catch (IOException e) {
                // The port is taken; try another.
            }
        }
        throw new IllegalStateException("no free port between " + LOWEST + " and " + HIGHEST);
    }
}
