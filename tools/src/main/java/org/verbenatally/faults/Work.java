package org.verbenatally.faults;

import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.verbenatally.config.Kind;
import org.verbenatally.config.TargetType;

/**
 * A piece of work that callers send, in one or more copies.
 *
 * @param id its id; the body carries it, so that targets record it
 * @param kind kind of work
 * @param organisation organisation that sends it
 * @param key idempotency key, or {@code null}
 * @param tokens wanted length of the output; engine kinds only
 * @param marker further text for the prompt, for example {@code [crash=3]}
 */
record Work(String id, Kind kind, String organisation, String key, int tokens, String marker) {

    boolean onEngine() {
        return kind.runsOn() == TargetType.ENGINE;
    }

    boolean streamed() {
        return onEngine() && kind.delivery() == Kind.Delivery.STREAM;
    }

    Work withKey(String issued) {
        return new Work(id, kind, organisation, issued, tokens, marker);
    }

    byte[] body() {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        if (onEngine()) {
            body.put("prompt", "[work=" + id + "] [len=" + tokens + "] " + marker);
            body.put("maxTokens", Math.max(1, tokens));
            body.put("stream", streamed());
        } else {
            body.put("work", id);
        }
        return body.toString().getBytes(StandardCharsets.UTF_8);
    }
}
