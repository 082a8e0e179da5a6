package org.verbenatally.peer;

import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import org.verbenatally.core.Address;
import org.verbenatally.core.InstanceId;
import org.verbenatally.core.TargetId;

/**
 * An instance in the platform's instance list, which may be out of date.
 *
 * @param id id of the instance
 * @param role role of the instance
 * @param address address at which it serves requests
 * @param peerAddress address at which it listens for peers; entry instances only
 * @param leaving whether the platform is about to remove it
 */
public record PlatformInstance(String id, Role role, Address address, Optional<Address> peerAddress, boolean leaving) {

    /** The role of an instance. */
    public enum Role {
        /** An entry instance. */
        ENTRY,
        /** A model engine. */
        ENGINE,
        /** A service other than a model engine. */
        SERVICE
    }

    /** Parses an item of the list; throws an {@link IllegalArgumentException} that names the field that is invalid. */
    static PlatformInstance of(JsonNode item) {
        Role role =
                switch (text(item, "role")) {
                    case "entry" -> Role.ENTRY;
                    case "engine" -> Role.ENGINE;
                    case "service" -> Role.SERVICE;
                    default -> throw new IllegalArgumentException("role must be entry, engine or service");
                };
        String id = text(item, "id");
        if (role == Role.ENTRY) {
            new InstanceId(id);
        } else {
            new TargetId(id);
        }
        String host = text(item, "host");
        int peerPort = item.has("peerPort") ? integer(item, "peerPort") : 0;
        return new PlatformInstance(
                id,
                role,
                new Address(host, integer(item, "port")),
                peerPort == 0 ? Optional.empty() : Optional.of(new Address(host, peerPort)),
                "leaving".equals(item.path("state").asText()));
    }

    private static int integer(JsonNode item, String field) {
        JsonNode value = item.path(field);
        if (!value.isIntegralNumber() || !value.canConvertToInt()) {
            throw new IllegalArgumentException(field + " must be an integer");
        }
        return value.intValue();
    }

    private static String text(JsonNode item, String field) {
        JsonNode value = item.path(field);
        if (!value.isTextual()) {
            throw new IllegalArgumentException(field + " must be a string");
        }
        return value.asText();
    }
}
