package org.verbenatally.standin;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;

import io.vertx.core.json.JsonObject;

/** Sends plain HTTP requests to a stand-in on a loopback port. */
final class TestHttp {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final HttpClient CLIENT =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    private TestHttp() {}

    static HttpResponse<String> send(int port, String method, String path, String body, String... headers)
            throws IOException, InterruptedException {
        var request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                .timeout(TIMEOUT)
                .method(method, HttpRequest.BodyPublishers.ofString(body));
        if (headers.length > 0) {
            request.headers(headers);
        }
        return CLIENT.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    static CompletableFuture<HttpResponse<String>> sendAsync(int port, String method, String path, String body) {
        var request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                .timeout(TIMEOUT)
                .method(method, HttpRequest.BodyPublishers.ofString(body));
        return CLIENT.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    static JsonObject load(int port) throws IOException, InterruptedException {
        return new JsonObject(send(port, "GET", "/v1/load", "").body());
    }

    static void waitUntil(Callable<Boolean> condition) throws Exception {
        long deadlineNanos = System.nanoTime() + TIMEOUT.toNanos();
        while (!condition.call()) {
            if (System.nanoTime() - deadlineNanos > 0) {
                throw new AssertionError("condition not met within " + TIMEOUT);
            }
            Thread.sleep(5);
        }
    }
}
