package org.verbenatally.entry.target;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

import io.vertx.core.buffer.Buffer;

/** Splits the bytes of a {@code text/event-stream} body into events. Not thread-safe. */
final class EventParser {
    /** Longest line; a token is a few bytes, so a longer line is a fault of the sender. */
    static final int MAX_LINE_BYTES = 65_536;

    private final Consumer<Event> sink;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream(128);
    private String id = "";
    private String name = "";
    private StringBuilder data;
    private boolean fields;

    /**
     * One event.
     *
     * @param id value of the {@code id} field, empty if absent
     * @param name value of the {@code event} field, empty if absent
     * @param data value of the {@code data} fields, joined by line feeds
     */
    record Event(String id, String name, String data) {}

    EventParser(Consumer<Event> sink) {
        this.sink = sink;
    }

    /**
     * Takes the next bytes.
     *
     * @throws IllegalArgumentException if a line is too long
     */
    void feed(Buffer bytes) {
        for (int i = 0; i < bytes.length(); i++) {
            byte b = bytes.getByte(i);
            if (b == '\n') {
                endLine();
            } else {
                if (line.size() >= MAX_LINE_BYTES) {
                    throw new IllegalArgumentException("event line is longer than " + MAX_LINE_BYTES + " bytes");
                }
                line.write(b);
            }
        }
    }

    private void endLine() {
        String text = line.toString(StandardCharsets.UTF_8);
        line.reset();
        if (text.endsWith("\r")) {
            text = text.substring(0, text.length() - 1);
        }
        if (text.isEmpty()) {
            dispatch();
        } else if (text.charAt(0) != ':') {
            field(text);
        }
    }

    private void field(String text) {
        int colon = text.indexOf(':');
        String key = colon < 0 ? text : text.substring(0, colon);
        String value = colon < 0 ? "" : text.substring(colon + 1);
        if (value.startsWith(" ")) {
            value = value.substring(1);
        }
        fields = true;
        switch (key) {
            case "id" -> id = value;
            case "event" -> name = value;
            case "data" -> appendData(value);
            default -> {
                // Unknown fields are ignored, as the format demands.
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
        if (!fields) {
            return;
        }
        Event event = new Event(id, name, data == null ? "" : data.toString());
        id = "";
        name = "";
        data = null;
        fields = false;
        sink.accept(event);
    }
}
