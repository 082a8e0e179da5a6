package org.verbenatally.history;

import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;

/** A thread-safe list of observations. Each read returns a snapshot. */
public final class History {
    private static final ObjectMapper MAPPER =
            new ObjectMapper().enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);

    private final List<HistoryRecord> records = new ArrayList<>();

    /** Returns a history with the given records. */
    public static History of(HistoryRecord... records) {
        History history = new History();
        Stream.of(records).forEach(history::add);
        return history;
    }

    /** Adds an observation. */
    public void add(HistoryRecord added) {
        Objects.requireNonNull(added, "record");
        synchronized (records) {
            records.add(added);
        }
    }

    /** Returns all records in the order in which they were added. */
    public List<HistoryRecord> records() {
        synchronized (records) {
            return List.copyOf(records);
        }
    }

    /** Returns the records of one type in the order in which they were added. */
    public <T extends HistoryRecord> List<T> recordsOfType(Class<T> type) {
        return records().stream().filter(type::isInstance).map(type::cast).toList();
    }

    /** Returns the records of one type grouped by a property, without those for which the property is {@code null}. */
    <T extends HistoryRecord> Map<String, List<T>> groupBy(Class<T> type, Function<T, String> property) {
        return recordsOfType(type).stream()
                .filter(found -> property.apply(found) != null)
                .collect(Collectors.groupingBy(property, LinkedHashMap::new, Collectors.toList()));
    }

    /**
     * Writes the history to a file as JSON lines.
     *
     * @throws UncheckedIOException if the file cannot be written
     */
    public void write(Path file) {
        try (BufferedWriter out = Files.newBufferedWriter(file)) {
            for (HistoryRecord observation : records()) {
                out.write(MAPPER.writerFor(HistoryRecord.class).writeValueAsString(observation));
                out.newLine();
            }
        } catch (IOException e) {
            throw new UncheckedIOException("cannot write history file " + file, e);
        }
    }

    /**
     * Reads a history from a file written by {@link #write}.
     *
     * @throws UncheckedIOException if the file cannot be read or a line is malformed
     */
    public static History read(Path file) {
        History history = new History();
        try (Stream<String> lines = Files.lines(file)) {
            lines.forEach(line -> history.add(parse(line)));
        } catch (IOException e) {
            throw new UncheckedIOException("cannot read history file " + file, e);
        }
        return history;
    }

    private static HistoryRecord parse(String line) {
        try {
            return MAPPER.readValue(line, HistoryRecord.class);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException("malformed line in history file", e);
        }
    }
}
