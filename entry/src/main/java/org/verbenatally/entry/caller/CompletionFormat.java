package org.verbenatally.entry.caller;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/**
 * Formats responses in the usual completion style, as one object or as events.
 *
 * @param id id of the request
 * @param model the model
 */
record CompletionFormat(String id, String model) implements StreamResponse.EventFormat {

    /** Returns the body of a complete response. */
    JsonObject body(String text, long tokens) {
        return chunk(text, "stop").put("usage", new JsonObject().put("completion_tokens", tokens));
    }

    private JsonObject chunk(String text, String finishReason) {
        return new JsonObject()
                .put("id", id)
                .put("object", "text_completion")
                .put("model", model)
                .put(
                        "choices",
                        new JsonArray()
                                .add(new JsonObject()
                                        .put("index", 0)
                                        .put("text", text)
                                        .put("finish_reason", finishReason)));
    }

    @Override
    public String start(String requestId, String generation, String streamToken) {
        return "";
    }

    @Override
    public String token(String streamToken, long offset, String text) {
        return "id: " + streamToken + ':' + offset + "\ndata: "
                + chunk(text, null).encode() + "\n\n";
    }

    @Override
    public String end(long tokens) {
        return "data: " + chunk("", "stop").encode() + "\n\ndata: [DONE]\n\n";
    }

    @Override
    public String error(JsonObject problem) {
        return "data: " + new JsonObject().put("error", problem).encode() + "\n\n";
    }
}
