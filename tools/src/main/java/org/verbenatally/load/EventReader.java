package org.verbenatally.load;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import io.vertx.core.buffer.Buffer;

/** Splits a byte stream into server-sent events; comments are dropped. */
final class EventReader {
    /**
     * One event.
     *
     * @param name value of the {@code event} field; {@code message} if absent
     * @param id value of the {@code id} field, or {@code null}
     * @param data value of the {@code data} field
     */
    record Event(String name, String id, String data) {}

    private Buffer rest = Buffer.buffer();
    private String name = "message";
    private String id;
    private final StringBuilder data = new StringBuilder();

    /** Adds bytes and returns the events that they complete. */
    List<Event> add(Buffer bytes) {
        rest.appendBuffer(bytes);
        List<Event> events = new ArrayList<>();
        int start = 0;
        for (int i = 0; i < rest.length(); i++) {
            if (rest.getByte(i) == '\n') {
                int end = i > start && rest.getByte(i - 1) == '\r' ? i - 1 : i;
                line(rest.getString(start, end, StandardCharsets.UTF_8.name()), events);
                start = i + 1;
            }
        }
        rest = rest.getBuffer(start, rest.length());
        return events;
    }

    private void line(String line, List<Event> events) {
        if (line.isEmpty()) {
            if (!data.isEmpty()) {
                events.add(new Event(name, id, data.toString()));
            }
            name = "message";
            id = null;
            data.setLength(0);
            return;
        }
        int colon = line.indexOf(':');
        if (colon == 0) {
            return;
        }
        String field = colon < 0 ? line : line.substring(0, colon);
        String value = colon < 0 ? "" : line.substring(colon + 1);
        value = value.startsWith(" ") ? value.substring(1) : value;
        switch (field) {
            case "event" -> name = value;
            case "id" -> id = value;
            case "data" -> data.append(data.isEmpty() ? "" : "\n").append(value);
            default -> {
                // Other fields have no meaning here.
            }
        }
    }
}
