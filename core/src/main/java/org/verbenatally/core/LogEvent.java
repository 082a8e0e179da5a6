package org.verbenatally.core;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;

import org.jboss.logging.Logger;

/**
 * A structured log line about a decision: its name, the request, the inputs of the decision and the outcome. The JSON
 * format of {@link Logging} writes each of them as a separate field.
 */
public final class LogEvent {
    private final String name;
    private final Map<String, Object> fields = new LinkedHashMap<>();

    private LogEvent(String name) {
        this.name = Objects.requireNonNull(name, "name");
    }

    /** Returns an event with a stable name, such as {@code route.sent}. */
    public static LogEvent of(String name) {
        return new LogEvent(name);
    }

    /** Adds the id of the request that the event concerns. */
    public LogEvent request(String id) {
        return with("request", id);
    }

    /** Adds a field; numbers and booleans keep their type, any other value is written as text. */
    public LogEvent with(String field, Object value) {
        fields.put(field, value instanceof Number || value instanceof Boolean ? value : String.valueOf(value));
        return this;
    }

    /** Writes the line at level INFO. */
    public void info(Logger log) {
        write(log, Logger.Level.INFO);
    }

    /** Writes the line at level WARN. */
    public void warn(Logger log) {
        write(log, Logger.Level.WARN);
    }

    private void write(Logger log, Logger.Level level) {
        if (log.isEnabled(level)) {
            log.log(LogEvent.class.getName(), level, name, new Object[] {this}, null);
        }
    }

    /** Returns the name. */
    public String name() {
        return name;
    }

    /** Returns the fields in the order in which they were added. */
    public Map<String, Object> fields() {
        return fields;
    }

    @Override
    public String toString() {
        return name + " " + fields;
    }
}
