package org.verbenatally.load;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import io.vertx.core.buffer.Buffer;

/** Parses a byte stream into server-sent events; ignores comments. */
final class EventReader {
    /**
     * One event.
     *
     * @param name value of the {@code event} field; {@code message} if it is absent
     * @param id value of the {@code id} field, or {@code null} if it is absent
     * @param data value of the {@code data} field
     */
    record Event(String name, String id, String data) {}

    private Buffer pending = Buffer.buffer();
    private String name = "message";
    private String id;
    private final StringBuilder data = new StringBuilder();

    /** Adds bytes and returns the events that they complete. */
    List<Event> add(Buffer bytes) {
        pending.appendBuffer(bytes);
        List<Event> events = new ArrayList<>();
        int start = 0;
        for (int i = 0; i < pending.length(); i++) {
            if (pending.getByte(i) == '\n') {
                int end = i > start && pending.getByte(i - 1) == '\r' ? i - 1 : i;
                parseLine(pending.getString(start, end, StandardCharsets.UTF_8.name()), events);
                start = i + 1;
            }
        }
        pending = pending.getBuffer(start, pending.length());
        return events;
    }

    private void parseLine(String line, List<Event> events) {
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
                // Other fields, such as retry, are not used.
            }
        }
    }
}
