package org.verbenatally.faults;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;

import org.verbenatally.core.Address;

/** Sends requests to the operator endpoint of entries and to the admin routes of stand-ins. */
final class AdminClient {
    private static final int SILENCE_TIMEOUT_MS = 5_000;

    private AdminClient() {}

    /**
     * Sends a request and returns the body of the response.
     *
     * @throws IllegalStateException if the status is not 2xx
     * @throws UncheckedIOException if there is no response
     */
    static String request(Address address, String method, String path, Map<String, String> headers, String body) {
        try (HttpCall call = HttpCall.connect(address, SILENCE_TIMEOUT_MS)) {
            call.exchange(method, path, headers, body == null ? null : body.getBytes(StandardCharsets.UTF_8));
            String response = call.readRemainingBody();
            if (call.status() / 100 != 2) {
                throw new IllegalStateException(
                        method + " " + path + " at " + address + ": " + call.status() + " " + response);
            }
            return response;
        } catch (IOException e) {
            throw new UncheckedIOException(method + " " + path + " at " + address, e);
        }
    }

    /** Sends a GET request and returns the status of the response, or 0 if there is none. */
    static int status(Address address, String path) {
        try (HttpCall call = HttpCall.connect(address, SILENCE_TIMEOUT_MS)) {
            return call.exchange("GET", path, Map.of(), null).status();
        } catch (IOException e) {
            return 0;
        }
    }
}
