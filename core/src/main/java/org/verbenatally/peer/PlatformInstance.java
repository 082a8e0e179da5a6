package org.verbenatally.peer;

import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import org.verbenatally.core.Address;

/**
 * One instance in the platform's list, which lags.
 *
 * @param id its id
 * @param role what it is
 * @param address where it serves
 * @param peerAddress where it listens for peers; entries only
 * @param leaving whether the platform is about to remove it
 */
public record PlatformInstance(String id, Role role, Address address, Optional<Address> peerAddress, boolean leaving) {

    /** What an instance is. */
    public enum Role {
        /** An entry instance. */
        ENTRY,
        /** A model engine. */
        ENGINE,
        /** A plain service. */
        SERVICE
    }

    /** Reads one item of the list; throws {@link IllegalArgumentException} that names the field. */
    static PlatformInstance of(JsonNode item) {
        Role role =
                switch (text(item, "role")) {
                    case "entry" -> Role.ENTRY;
                    case "engine" -> Role.ENGINE;
                    case "service" -> Role.SERVICE;
                    default -> throw new IllegalArgumentException("role must be entry, engine or service");
                };
        String host = text(item, "host");
        int peerPort = item.path("peerPort").asInt(0);
        return new PlatformInstance(
                text(item, "id"),
                role,
                new Address(host, item.path("port").asInt()),
                peerPort == 0 ? Optional.empty() : Optional.of(new Address(host, peerPort)),
                "leaving".equals(item.path("state").asText()));
    }

    private static String text(JsonNode item, String field) {
        JsonNode value = item.path(field);
        if (!value.isTextual()) {
            throw new IllegalArgumentException(field + " must be a string");
        }
        return value.asText();
    }
}
