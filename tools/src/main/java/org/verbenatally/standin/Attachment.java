package org.verbenatally.standin;

import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonObject;

/** A connection that receives the tokens of a sequence as server-sent events. */
final class Attachment {
    final int number;
    private final HttpServerRequest request;
    private final Sequence sequence;
    private long nextOffset;
    private boolean ended;

    /** Attaches a request to a sequence, starting at a token offset, and sends the response head. */
    Attachment(int number, HttpServerRequest request, Sequence sequence, long from) {
        this.number = number;
        this.request = request;
        this.sequence = sequence;
        nextOffset = from;
        request.response()
                .setChunked(true)
                .putHeader("Content-Type", "text/event-stream")
                .putHeader("Cache-Control", "no-store")
                .putHeader("Attachment", Integer.toString(number))
                .drainHandler(ignored -> sendPending());
        request.response().write(": hb\n\n");
    }

    /** Sends generated tokens that were not sent yet, until the write queue of the connection is full. */
    void sendPending() {
        if (ended || request.response().closed()) {
            return;
        }
        StringBuilder events = new StringBuilder();
        while (nextOffset < sequence.generated && !request.response().writeQueueFull()) {
            for (int i = 0; i < 64 && nextOffset < sequence.generated; i++) {
                events.append("id: ").append(nextOffset).append("\ndata: {\"t\":\"");
                events.append(TokenText.of(sequence.id, nextOffset)).append("\"}\n\n");
                nextOffset++;
            }
            request.response().write(events.toString());
            events.setLength(0);
        }
        if (nextOffset >= sequence.generated && sequence.isFinal()) {
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

    void sendHeartbeat() {
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
