package org.verbenatally.faults;

import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.verbenatally.config.Kind;
import org.verbenatally.config.TargetType;

/**
 * A unit of work that callers send in one or more requests.
 *
 * @param id id of the work item; it is part of the request body so that targets can record it
 * @param kind kind of work
 * @param organisation organisation that sends it
 * @param key idempotency key, or {@code null}
 * @param tokens requested length of the output, in tokens; used for kinds that run on engines only
 * @param marker additional text for the prompt, for example {@code [crash=3]}; may be empty
 */
record WorkItem(String id, Kind kind, String organisation, String key, int tokens, String marker) {

    boolean runsOnEngine() {
        return kind.runsOn() == TargetType.ENGINE;
    }

    boolean isStreamed() {
        return runsOnEngine() && kind.delivery() == Kind.Delivery.STREAM;
    }

    WorkItem withKey(String issuedKey) {
        return new WorkItem(id, kind, organisation, issuedKey, tokens, marker);
    }

    byte[] body() {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        if (runsOnEngine()) {
            body.put("prompt", "[work=" + id + "] [len=" + tokens + "] " + marker);
            body.put("maxTokens", Math.max(1, tokens));
            body.put("stream", isStreamed());
        } else {
            body.put("work", id);
        }
        return body.toString().getBytes(StandardCharsets.UTF_8);
    }
}
