package org.verbenatally.entry.target;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.vertx.core.DeploymentOptions;
import io.vertx.core.Future;
import io.vertx.core.ThreadingModel;
import io.vertx.core.VerticleBase;
import io.vertx.core.Vertx;
import org.verbenatally.config.Target;
import org.verbenatally.config.TargetType;
import org.verbenatally.core.Address;
import org.verbenatally.core.FailureDomain;
import org.verbenatally.core.TargetId;

/** A service on loopback whose responses are written byte by byte. */
final class RawService implements AutoCloseable {
    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final AtomicInteger connections = new AtomicInteger();
    private final Script script;

    /** Returns the bytes to write for a request, given its head and its number on its connection, from 0. */
    @FunctionalInterface
    interface Script {
        String respond(String head, int number) throws InterruptedException;
    }

    /** An exchange with the service. */
    @FunctionalInterface
    interface Task {
        String run() throws TargetFailure;
    }

    RawService(Script script) throws IOException {
        this.script = script;
        Thread.ofVirtual().start(this::accept);
    }

    static String response(int status, String headers, String body) {
        return "HTTP/1.1 " + status + " x\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    Target target() {
        return target(new Address(server.getInetAddress().getHostAddress(), server.getLocalPort()));
    }

    /** Returns a service at an address. */
    static Target target(Address address) {
        return new Target(
                new TargetId("t"),
                TargetType.SERVICE,
                address,
                new FailureDomain("Bole"),
                List.of(),
                "serve",
                false,
                8,
                false);
    }

    /** Returns the number of connections that were accepted. */
    int connections() {
        return connections.get();
    }

    /** Runs a task in a virtual-thread task of Vert.x; returns its result, or the cause of its failure. */
    static String run(Vertx vertx, Task task) throws Exception {
        CompletableFuture<String> result = new CompletableFuture<>();
        vertx.deployVerticle(
                new VerticleBase() {
                    @Override
                    public Future<?> start() {
                        try {
                            result.complete(task.run());
                        } catch (TargetFailure e) {
                            result.complete(e.reason().toString());
                        }
                        return Future.succeededFuture();
                    }
                },
                new DeploymentOptions().setThreadingModel(ThreadingModel.VIRTUAL_THREAD));
        return result.get(10, TimeUnit.SECONDS);
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                connections.incrementAndGet();
                Thread.ofVirtual().start(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = socket.getInputStream();
            for (int i = 0; ; i++) {
                String head = readHead(in);
                if (head.isEmpty()) {
                    return;
                }
                socket.getOutputStream().write(script.respond(head, i).getBytes(StandardCharsets.UTF_8));
            }
        } catch (IOException e) {
            // The client has closed the connection.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Reads a head and skips the body, whose length the head states; returns an empty text at the end. */
    private static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                return "";
            }
            head.append((char) next);
        }
        String length = header(head.toString(), "Content-Length");
        in.skipNBytes(length.isEmpty() ? 0 : Long.parseLong(length));
        return head.toString();
    }

    /** Returns the value of a header of a request, or an empty text if it is missing. */
    static String header(String head, String name) {
        return head.lines()
                .filter(line -> line.regionMatches(true, 0, name + ": ", 0, name.length() + 2))
                .map(line -> line.substring(name.length() + 2))
                .findFirst()
                .orElse("");
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
