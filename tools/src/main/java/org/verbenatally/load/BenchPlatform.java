package org.verbenatally.load;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import org.verbenatally.core.Address;

/**
 * A minimal platform for {@link PeerBench}. Serves one configuration document with long polling and an empty list of
 * instances, and counts the reads.
 */
final class BenchPlatform {
    private static final int NOT_MODIFIED = 304;

    private final Vertx vertx;
    private final HttpServer server;
    private final AtomicLong reads = new AtomicLong();
    private final Map<HttpServerResponse, Long> longPolls = new ConcurrentHashMap<>();
    private volatile long version;
    private volatile byte[] document = new byte[0];

    BenchPlatform(Vertx vertx) {
        this.vertx = vertx;
        server = vertx.createHttpServer();
        server.requestHandler(this::handle);
    }

    Future<Address> listen() {
        return server.listen(0, "127.0.0.1").map(s -> new Address("127.0.0.1", s.actualPort()));
    }

    long reads() {
        return reads.get();
    }

    void publish(long newVersion, byte[] body) {
        document = body;
        version = newVersion;
        longPolls.keySet().forEach(this::sendDocument);
    }

    private void handle(HttpServerRequest request) {
        reads.incrementAndGet();
        HttpServerResponse response = request.response();
        if (!request.path().equals("/v1/config")) {
            response.end("[]");
            return;
        }
        long after = Long.parseLong(request.getParam("after", "0"));
        long wait = Long.parseLong(request.getParam("waitMs", "0"));
        longPolls.put(response, after);
        response.closeHandler(v -> longPolls.remove(response));
        if (version > after) {
            sendDocument(response);
        } else if (wait == 0) {
            sendNotModified(response);
        } else {
            vertx.setTimer(wait, t -> sendNotModified(response));
        }
    }

    private void sendDocument(HttpServerResponse response) {
        if (longPolls.remove(response) != null) {
            response.putHeader("Config-Version", Long.toString(version)).end(Buffer.buffer(document));
        }
    }

    private void sendNotModified(HttpServerResponse response) {
        if (longPolls.remove(response) != null) {
            response.setStatusCode(NOT_MODIFIED).end();
        }
    }
}
