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
 * Events of a stand-in as JSON objects, in order of occurrence. Each has the members {@code event}, {@code source},
 * {@code ms} (epoch milliseconds) and {@code nanos} (monotonic clock, comparable between processes on one machine).
 *
 * <p>If a file is given, each event is written to it before the call returns, so the history of a killed process is
 * complete up to its end.
 */
final class History {
    /** Limits memory use in long runs: beyond this number, the oldest events are dropped and counted. */
    private static final int MAX_RETAINED_EVENTS = 500_000;

    private final String source;
    private final Path file;
    private final Deque<JsonObject> events = new ArrayDeque<>();
    private long dropped;

    /**
     * Creates an empty history.
     *
     * @param source id of the stand-in, added to each event
     * @param file path of a file to which events are appended; empty: events are kept in memory only
     */
    History(String source, String file) {
        this.source = source;
        this.file = file.isEmpty() ? null : Path.of(file);
    }

    /** Adds an event with the source and the current times to the history. {@code details} is not changed. */
    synchronized void add(String event, JsonObject details) {
        JsonObject line = new JsonObject()
                .put("event", event)
                .put("source", source)
                .put("ms", System.currentTimeMillis())
                .put("nanos", System.nanoTime())
                .mergeIn(details);
        events.addLast(line);
        if (events.size() > MAX_RETAINED_EVENTS) {
            events.removeFirst();
            dropped++;
        }
        if (file != null) {
            appendToFile(line);
        }
    }

    private void appendToFile(JsonObject line) {
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

    /** Returns the number of events that were dropped to limit memory use. */
    synchronized long dropped() {
        return dropped;
    }

    /** Returns the retained events, one JSON object per line. */
    synchronized String lines() {
        StringBuilder text = new StringBuilder();
        events.forEach(e -> text.append(e.encode()).append('\n'));
        return text.toString();
    }
}
