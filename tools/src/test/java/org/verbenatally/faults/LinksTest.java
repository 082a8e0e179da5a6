package org.verbenatally.faults;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Map;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.verbenatally.core.Address;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class LinksTest {
    private static final int SHORT_TIMEOUT_MS = 300;
    private static final int LONG_TIMEOUT_MS = 20_000;

    private final Links links = new Links(() -> Map.of(ProcessHandle.current().pid(), "test"));
    private ServerSocket server;
    private Address relay;

    @BeforeEach
    void listen() throws IOException {
        server = new ServerSocket(0, 10, InetAddress.getByName("127.0.0.1"));
        relay = links.add("server", new Address("127.0.0.1", server.getLocalPort()));
    }

    @AfterEach
    void close() throws IOException {
        links.close();
        server.close();
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(relay.host(), relay.port());
        socket.setSoTimeout(LONG_TIMEOUT_MS);
        return socket;
    }

    private static int readWithin(Socket socket, int ms) throws IOException {
        socket.setSoTimeout(ms);
        return socket.getInputStream().read();
    }

    /** Guards against a cut that loses or reorders bytes instead of delaying them, or that cuts both directions. */
    @Test
    void holdsOneDirectionAndDeliversAfterHealing() throws IOException {
        try (Socket client = connect();
                Socket accepted = server.accept()) {
            links.hold((from, to) -> from.equals("test") && to.equals("server"));
            client.getOutputStream().write(1);
            accepted.getOutputStream().write(2);
            assertThat(readWithin(client, LONG_TIMEOUT_MS)).isEqualTo(2);
            assertThatThrownBy(() -> readWithin(accepted, SHORT_TIMEOUT_MS)).isInstanceOf(SocketTimeoutException.class);
            links.heal();
            assertThat(readWithin(accepted, LONG_TIMEOUT_MS)).isEqualTo(1);
        }
    }

    /** Guards against silenced connections that heal, and against silencing connections that are opened later. */
    @Test
    void silencesOpenConnectionsOnly() throws IOException {
        try (Socket old = connect();
                Socket oldAccepted = server.accept()) {
            old.getOutputStream().write(1);
            assertThat(readWithin(oldAccepted, LONG_TIMEOUT_MS)).isEqualTo(1);
            assertThat(links.silence((from, to) -> from.equals("test"))).isEqualTo(1);
            links.heal();
            old.getOutputStream().write(2);
            assertThatThrownBy(() -> readWithin(oldAccepted, SHORT_TIMEOUT_MS))
                    .isInstanceOf(SocketTimeoutException.class);
            try (Socket fresh = connect();
                    Socket freshAccepted = server.accept()) {
                fresh.getOutputStream().write(3);
                assertThat(readWithin(freshAccepted, LONG_TIMEOUT_MS)).isEqualTo(3);
            }
        }
    }

    /** Guards against a relay that does not forward the end of a connection. */
    @Test
    void forwardsEndOfStream() throws IOException {
        try (Socket client = connect();
                Socket accepted = server.accept()) {
            client.shutdownOutput();
            assertThat(readWithin(accepted, LONG_TIMEOUT_MS)).isEqualTo(-1);
        }
    }
}
