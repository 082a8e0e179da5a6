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

/** The relay's faults; a fault that does not happen makes a fault test pass for nothing. */
class TcpRelayTest {
    /** Only bounds the wait for bytes that must not arrive. */
    private static final int SILENT_MS = 200;

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
        relay = new TcpRelay(RelayOptions.to(echo.getLocalPort()));
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
            // The relay cut the connection.
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
    void cutResetsOpenConnectionsOnly() throws Exception {
        try (Socket old = connect()) {
            assertThat(roundTrip(old, 1)).isEqualTo(1);
            relay.cut();
            assertThatThrownBy(() -> roundTrip(old, 2)).isInstanceOf(SocketException.class);
            try (Socket fresh = connect()) {
                assertThat(roundTrip(fresh, 3)).isEqualTo(3);
            }
        }
    }

    /** Repeated, as a listener that is not yet closed accepts a connection only now and then. */
    @RepeatedTest(10)
    void refuseLeavesOpenConnectionsAndEnds() throws Exception {
        try (Socket old = connect()) {
            assertThat(roundTrip(old, 1)).isEqualTo(1);
            relay.refuse(true);
            assertThatThrownBy(this::connect).isInstanceOf(ConnectException.class);
            assertThat(roundTrip(old, 2)).isEqualTo(2);
            relay.heal();
            try (Socket fresh = connect()) {
                assertThat(roundTrip(fresh, 3)).isEqualTo(3);
            }
        }
    }

    @ParameterizedTest
    @EnumSource(Direction.class)
    void silenceHoldsOneDirectionOfOpenConnectionsForGood(Direction direction) throws Exception {
        try (Socket old = connect();
                Socket fresh = connectAfterSilence(old, direction)) {
            assertThat(roundTrip(fresh, 2)).isEqualTo(2);
            int before = echoed;
            old.setSoTimeout(SILENT_MS);
            assertThatThrownBy(() -> roundTrip(old, 3)).isInstanceOf(SocketTimeoutException.class);
            assertThat(echoed - before).isEqualTo(direction == Direction.TO_TARGET ? 0 : 1);
            relay.heal();
            assertThatThrownBy(() -> roundTrip(old, 4)).isInstanceOf(SocketTimeoutException.class);
        }
    }

    private Socket connectAfterSilence(Socket old, Direction direction) throws IOException {
        assertThat(roundTrip(old, 1)).isEqualTo(1);
        relay.silenceOpen(EnumSet.of(direction));
        return connect();
    }

    @Test
    void silenceAndDelayHitNewConnections() throws Exception {
        relay.silenceAll();
        try (Socket silent = connect()) {
            silent.setSoTimeout(SILENT_MS);
            assertThatThrownBy(() -> roundTrip(silent, 1)).isInstanceOf(SocketTimeoutException.class);
        }
        relay.heal();
        relay.delay(40);
        try (Socket slow = connect()) {
            long start = System.nanoTime();
            assertThat(roundTrip(slow, 1)).isEqualTo(1);
            assertThat(System.nanoTime() - start).isGreaterThanOrEqualTo(80_000_000L);
        }
    }
}
