package org.verbenatally.forward;

import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpHeaders;

/** Copies the end-to-end headers of a message (RFC 9110, section 7.6.1). */
final class Headers {
    private static final Set<String> HOP_BY_HOP = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "expect",
            "content-length",
            // Between instances only; callers and targets have no say in them.
            "relay-config-version",
            "relay-service",
            "relay-id",
            "relay-declined");

    private Headers() {}

    /** Adds all headers except those of a single connection and the length, which the sender states anew. */
    static void copyEndToEnd(MultiMap from, MultiMap to) {
        Set<String> connectionOptions = new TreeSet<>(String.CASE_INSENSITIVE_ORDER);
        for (String value : from.getAll(HttpHeaders.CONNECTION)) {
            for (String name : value.split(",")) {
                connectionOptions.add(name.strip());
            }
        }
        for (Map.Entry<String, String> header : from) {
            String name = header.getKey();
            if (!HOP_BY_HOP.contains(name.toLowerCase(Locale.ROOT)) && !connectionOptions.contains(name)) {
                to.add(name, header.getValue());
            }
        }
    }
}
