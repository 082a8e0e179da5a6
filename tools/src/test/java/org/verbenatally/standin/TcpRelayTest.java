package org.verbenatally.standin;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.util.EnumSet;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.verbenatally.standin.TcpRelay.Direction;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/** Tests of the faults that the relay injects. A fault without effect would let other fault tests pass vacuously. */
class TcpRelayTest {
    /** Limits the wait for bytes that must not arrive; has no other effect. */
    private static final int SILENCE_TIMEOUT_MS = 200;

    private ServerSocket echo;
    private TcpRelay relay;
    private int port;
    private volatile int echoed;

    @BeforeEach
    void start() throws IOException {
        echo = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        Thread.ofVirtual().start(() -> {
            while (!echo.isClosed()) {
                try {
                    Socket socket = echo.accept();
                    Thread.ofVirtual().start(() -> echo(socket));
                } catch (IOException e) {
                    return;
                }
            }
        });
        relay = new TcpRelay(RelayOptions.toLoopback(echo.getLocalPort()));
        port = relay.start();
    }

    private void echo(Socket socket) {
        try (socket) {
            for (int b = socket.getInputStream().read();
                    b >= 0;
                    b = socket.getInputStream().read()) {
                echoed++;
                socket.getOutputStream().write(b);
            }
        } catch (IOException e) {
            // The relay reset the connection.
        }
    }

    @AfterEach
    void stop() throws IOException {
        relay.close();
        echo.close();
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket("127.0.0.1", port);
        socket.setSoTimeout(20_000);
        return socket;
    }

    private static int roundTrip(Socket socket, int value) throws IOException {
        socket.getOutputStream().write(value);
        return socket.getInputStream().read();
    }

    @Test
    void resetsOpenConnectionsOnly() throws Exception {
        try (Socket existing = connect()) {
            assertThat(roundTrip(existing, 1)).isEqualTo(1);
            relay.resetConnections();
            assertThatThrownBy(() -> roundTrip(existing, 2)).isInstanceOf(SocketException.class);
            try (Socket fresh = connect()) {
                assertThat(roundTrip(fresh, 3)).isEqualTo(3);
            }
        }
    }

    /** Repeated because a listener that is not yet closed accepts a connection only occasionally. */
    @RepeatedTest(10)
    void refusalKeepsOpenConnectionsAndCanBeLifted() throws Exception {
        try (Socket existing = connect()) {
            assertThat(roundTrip(existing, 1)).isEqualTo(1);
            relay.setRefusing(true);
            assertThatThrownBy(this::connect).isInstanceOf(ConnectException.class);
            assertThat(roundTrip(existing, 2)).isEqualTo(2);
            relay.heal();
            try (Socket fresh = connect()) {
                assertThat(roundTrip(fresh, 3)).isEqualTo(3);
            }
        }
    }

    @ParameterizedTest
    @EnumSource(Direction.class)
    void silenceDropsOneDirectionOfOpenConnectionsPermanently(Direction direction) throws Exception {
        try (Socket existing = connect();
                Socket fresh = connectAfterSilence(existing, direction)) {
            assertThat(roundTrip(fresh, 2)).isEqualTo(2);
            int before = echoed;
            existing.setSoTimeout(SILENCE_TIMEOUT_MS);
            assertThatThrownBy(() -> roundTrip(existing, 3)).isInstanceOf(SocketTimeoutException.class);
            assertThat(echoed - before).isEqualTo(direction == Direction.TO_TARGET ? 0 : 1);
            relay.heal();
            assertThatThrownBy(() -> roundTrip(existing, 4)).isInstanceOf(SocketTimeoutException.class);
        }
    }

    private Socket connectAfterSilence(Socket existing, Direction direction) throws IOException {
        assertThat(roundTrip(existing, 1)).isEqualTo(1);
        relay.silenceOpen(EnumSet.of(direction));
        return connect();
    }

    @Test
    void silenceAndDelayAffectNewConnections() throws Exception {
        relay.silenceAll();
        try (Socket silent = connect()) {
            silent.setSoTimeout(SILENCE_TIMEOUT_MS);
            assertThatThrownBy(() -> roundTrip(silent, 1)).isInstanceOf(SocketTimeoutException.class);
        }
        relay.heal();
        relay.setDelay(40);
        try (Socket slow = connect()) {
            long start = System.nanoTime();
            assertThat(roundTrip(slow, 1)).isEqualTo(1);
            assertThat(System.nanoTime() - start).isGreaterThanOrEqualTo(80_000_000L);
        }
    }
}
