package org.verbenatally.entry;

import java.util.ArrayList;
import java.util.List;

import io.vertx.core.json.JsonObject;

/**
 * The events of a stream, parsed from a response to a caller.
 *
 * @param ids event ids of the tokens
 * @param texts texts of the tokens
 * @param stream stream token given in the start event
 * @param last name of the last event
 * @param data data of the last event
 */
record Events(List<String> ids, List<String> texts, String stream, String last, JsonObject data) {

    static Events read(String body) {
        List<String> ids = new ArrayList<>();
        List<String> texts = new ArrayList<>();
        String stream = "";
        String last = "";
        JsonObject lastData = new JsonObject();
        for (String block : body.split("\n\n")) {
            String id = field(block, "id: ");
            String name = field(block, "event: ");
            String data = field(block, "data: ");
            if (data.isEmpty()) {
                continue;
            }
            JsonObject json = new JsonObject(data);
            if (name.equals("start")) {
                stream = json.getString("stream");
            } else if (name.isEmpty()) {
                ids.add(id);
                texts.add(json.getString("t"));
            }
            last = name;
            lastData = json;
        }
        return new Events(ids, texts, stream, last, lastData);
    }

    private static String field(String block, String prefix) {
        return block.lines()
                .filter(line -> line.startsWith(prefix))
                .map(line -> line.substring(prefix.length()))
                .findFirst()
                .orElse("");
    }

    /**
     * Returns whether the tokens have the expected offsets and the text of one generation.
     *
     * @param from offset of the first token
     * @param to offset after the last token
     */
    boolean areInOrder(int from, int to) {
        if (ids.size() != to - from) {
            return false;
        }
        for (int i = 0; i < ids.size(); i++) {
            boolean idMatches = ids.get(i).equals(stream + ':' + (from + i));
            String generation = texts.getFirst().substring(0, 4);
            if (!idMatches || !texts.get(i).equals(generation + '.' + (from + i) + ' ')) {
                return false;
            }
        }
        return true;
    }
}
