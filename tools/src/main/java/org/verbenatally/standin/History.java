package org.verbenatally.standin;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

import io.vertx.core.json.JsonObject;

/**
 * What a stand-in did, as JSON objects in the order of events. Each has {@code event}, {@code ms} (epoch milliseconds)
 * and {@code nanos} (monotonic clock; comparable between processes of one machine).
 *
 * <p>With a file, each event is written through before the call returns, so that the history of a process that is
 * killed is whole up to its death.
 */
final class History {
    /** Bounds memory in long runs; the oldest events are dropped and counted. */
    private static final int MAX_EVENTS = 500_000;

    private final String source;
    private final Path file;
    private final Deque<JsonObject> events = new ArrayDeque<>();
    private long dropped;

    /**
     * Creates an empty history.
     *
     * @param source id of the stand-in, added to each event
     * @param file path of a file to append to; empty: memory only
     */
    History(String source, String file) {
        this.source = source;
        this.file = file.isEmpty() ? null : Path.of(file);
    }

    /** Adds an event; the caller's object gains the source and the two times. */
    synchronized void add(String event, JsonObject details) {
        JsonObject line = new JsonObject()
                .put("event", event)
                .put("source", source)
                .put("ms", System.currentTimeMillis())
                .put("nanos", System.nanoTime())
                .mergeIn(details);
        events.addLast(line);
        if (events.size() > MAX_EVENTS) {
            events.removeFirst();
            dropped++;
        }
        if (file != null) {
            write(line);
        }
    }

    private void write(JsonObject line) {
        try {
            Files.writeString(
                    file,
                    line.encode() + "\n",
                    StandardCharsets.UTF_8,
                    StandardOpenOption.CREATE,
                    StandardOpenOption.APPEND);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot append to history file " + file, e);
        }
    }

    /** Returns a copy of the retained events. */
    synchronized List<JsonObject> events() {
        return events.stream().map(JsonObject::copy).toList();
    }

    /** Returns the number of events that no longer fit. */
    synchronized long dropped() {
        return dropped;
    }

    /** Returns the retained events, one JSON object a line. */
    synchronized String lines() {
        StringBuilder text = new StringBuilder();
        events.forEach(e -> text.append(e.encode()).append('\n'));
        return text.toString();
    }
}
