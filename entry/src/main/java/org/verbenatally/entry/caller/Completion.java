package org.verbenatally.entry.caller;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/**
 * The usual completion-style form of answers.
 *
 * @param id id of the request
 * @param model the model
 */
record Completion(String id, String model) implements StreamAnswer.Form {

    JsonObject whole(String text, long tokens) {
        return chunk(text, "stop").put("usage", new JsonObject().put("completion_tokens", tokens));
    }

    private JsonObject chunk(String text, String finish) {
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
                                        .put("finish_reason", finish)));
    }

    @Override
    public String start(String request, String generation, String stream) {
        return "";
    }

    @Override
    public String token(String stream, long offset, String text) {
        return "id: " + stream + ':' + offset + "\ndata: " + chunk(text, null).encode() + "\n\n";
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
