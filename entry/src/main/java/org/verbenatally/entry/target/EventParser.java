package org.verbenatally.entry.target;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

import io.vertx.core.buffer.Buffer;

/** Parses the bytes of a {@code text/event-stream} body into events. Not thread-safe. */
final class EventParser {
    /** Maximum length of a line; a token takes only a few bytes, so a longer line is an error of the sender. */
    static final int MAX_LINE_BYTES = 65_536;

    private final Consumer<Event> onEvent;
    private final ByteArrayOutputStream lineBuffer = new ByteArrayOutputStream(128);
    private String id = "";
    private String name = "";
    private StringBuilder data;
    private boolean hasFields;

    /**
     * One event.
     *
     * @param id value of the {@code id} field, empty if absent
     * @param name value of the {@code event} field, empty if absent
     * @param data value of the {@code data} fields, joined by line feeds
     */
    record Event(String id, String name, String data) {}

    EventParser(Consumer<Event> onEvent) {
        this.onEvent = onEvent;
    }

    /**
     * Parses the next chunk of the body.
     *
     * @throws IllegalArgumentException if a line or the data of an event is too long
     */
    void parse(Buffer chunk) {
        for (int i = 0; i < chunk.length(); i++) {
            byte b = chunk.getByte(i);
            if (b == '\n') {
                endLine();
            } else {
                if (lineBuffer.size() >= MAX_LINE_BYTES) {
                    throw new IllegalArgumentException("event line is longer than " + MAX_LINE_BYTES + " bytes");
                }
                lineBuffer.write(b);
            }
        }
    }

    private void endLine() {
        String line = lineBuffer.toString(StandardCharsets.UTF_8);
        lineBuffer.reset();
        if (line.endsWith("\r")) {
            line = line.substring(0, line.length() - 1);
        }
        if (line.isEmpty()) {
            dispatch();
        } else if (line.charAt(0) != ':') {
            parseField(line);
        }
    }

    private void parseField(String line) {
        int colon = line.indexOf(':');
        String fieldName = colon < 0 ? line : line.substring(0, colon);
        String value = colon < 0 ? "" : line.substring(colon + 1);
        if (value.startsWith(" ")) {
            value = value.substring(1);
        }
        hasFields = true;
        switch (fieldName) {
            case "id" -> id = value;
            case "event" -> name = value;
            case "data" -> appendData(value);
            default -> {
                // Unknown fields are ignored, as the format requires.
            }
        }
    }

    private void appendData(String value) {
        if (data == null) {
            data = new StringBuilder(value);
            return;
        }
        if (data.length() + value.length() > MAX_LINE_BYTES) {
            throw new IllegalArgumentException("event data is longer than " + MAX_LINE_BYTES + " characters");
        }
        data.append('\n').append(value);
    }

    private void dispatch() {
        if (!hasFields) {
            return;
        }
        Event event = new Event(id, name, data == null ? "" : data.toString());
        id = "";
        name = "";
        data = null;
        hasFields = false;
        onEvent.accept(event);
    }
}
