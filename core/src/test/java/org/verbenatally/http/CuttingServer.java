package org.verbenatally.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

import org.verbenatally.core.Address;

/**
 * A server that writes the same response to each request without reading the request, and closes the connection. The
 * close ends the response, and resets the connection because of the unread bytes.
 */
public final class CuttingServer implements AutoCloseable {
    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final String response;

    public CuttingServer(String response) throws IOException {
        this.response = response;
        Thread.ofVirtual().start(this::serve);
    }

    public Address address() {
        return new Address(server.getInetAddress().getHostAddress(), server.getLocalPort());
    }

    private void serve() {
        while (!server.isClosed()) {
            try (Socket socket = server.accept()) {
                while (socket.getInputStream().available() == 0) {
                    Thread.sleep(1);
                }
                socket.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
            } catch (IOException e) {
                // The client or the test has closed a socket.
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
