package org.verbenatally.standin;

import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonObject;

/** A connection that receives the tokens of a sequence as server-sent events. */
final class Attachment {
    final int number;
    private final HttpServerRequest request;
    private final Sequence sequence;
    private long next;
    private boolean ended;

    /** Attaches a request from an offset on and sends the response head. */
    Attachment(int number, HttpServerRequest request, Sequence sequence, long from) {
        this.number = number;
        this.request = request;
        this.sequence = sequence;
        next = from;
        request.response()
                .setChunked(true)
                .putHeader("Content-Type", "text/event-stream")
                .putHeader("Cache-Control", "no-store")
                .putHeader("Attachment", Integer.toString(number))
                .drainHandler(ignored -> pump());
        request.response().write(": hb\n\n");
    }

    /** Sends what is generated but not sent, as far as the connection takes it. */
    void pump() {
        if (ended || request.response().closed()) {
            return;
        }
        StringBuilder events = new StringBuilder();
        while (next < sequence.generated && !request.response().writeQueueFull()) {
            for (int i = 0; i < 64 && next < sequence.generated; i++) {
                events.append("id: ").append(next).append("\ndata: {\"t\":\"");
                events.append(TokenText.of(sequence.id, next)).append("\"}\n\n");
                next++;
            }
            request.response().write(events.toString());
            events.setLength(0);
        }
        if (next >= sequence.generated && sequence.isFinal()) {
            ended = true;
            request.response()
                    .end("event: end\ndata: "
                            + new JsonObject()
                                    .put("tokens", sequence.generated)
                                    .put("preemptions", sequence.preemptions)
                                    .encode()
                            + "\n\n");
        }
    }

    void heartbeat() {
        if (!ended && !request.response().closed() && !request.response().writeQueueFull()) {
            request.response().write(": hb\n\n");
        }
    }

    boolean isOpen() {
        return !ended && !request.response().closed();
    }

    void close() {
        request.connection().close();
    }
}
