package org.verbenatally.faults;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;

import org.verbenatally.core.Address;

/** Requests to the operator endpoint of entries and the admin routes of stand-ins. */
final class Admin {
    private static final int SILENCE_MS = 5_000;

    private Admin() {}

    /**
     * Sends a request and returns the body of the answer.
     *
     * @throws IllegalStateException if the status is not 2xx
     * @throws UncheckedIOException if there is no answer
     */
    static String request(Address to, String method, String path, Map<String, String> headers, String body) {
        try (HttpCall call = HttpCall.connect(to, SILENCE_MS)) {
            call.exchange(method, path, headers, body == null ? null : body.getBytes(StandardCharsets.UTF_8));
            String answer = call.rest();
            if (call.status() / 100 != 2) {
                throw new IllegalStateException(
                        method + " " + path + " at " + to + ": " + call.status() + " " + answer);
            }
            return answer;
        } catch (IOException e) {
            throw new UncheckedIOException(method + " " + path + " at " + to, e);
        }
    }

    /** Returns the status of a GET, or 0 if there is no answer. */
    static int status(Address to, String path) {
        try (HttpCall call = HttpCall.connect(to, SILENCE_MS)) {
            return call.exchange("GET", path, Map.of(), null).status();
        } catch (IOException e) {
            return 0;
        }
    }
}
