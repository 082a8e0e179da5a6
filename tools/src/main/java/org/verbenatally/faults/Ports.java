package org.verbenatally.faults;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Finds free ports for processes that start later or are restarted on the same port. The ports are below the range from
 * which the operating system takes the ports of outgoing connections, so that no connection can occupy them in between.
 */
public final class Ports {
    private static final int MIN_PORT = 10_000;
    private static final int MAX_PORT = 32_000;
    private static final int MAX_TRIES = 1_000;

    private Ports() {}

    /** Returns a port that is free at the time of the call. */
    public static int findFree() {
        for (int i = 0; i < MAX_TRIES; i++) {
            int port = ThreadLocalRandom.current().nextInt(MIN_PORT, MAX_PORT);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                return socket.getLocalPort();
            } catch (IOException e) {
                // The port is taken; try another.
            }
        }
        throw new IllegalStateException("no free port between " + MIN_PORT + " and " + MAX_PORT);
    }
}
