package org.verbenatally.core;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.logging.Handler;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.jboss.logmanager.ExtFormatter;
import org.jboss.logmanager.ExtLogRecord;
import org.jboss.logmanager.Level;
import org.jboss.logmanager.LogContext;
import org.jboss.logmanager.formatters.PatternFormatter;
import org.jboss.logmanager.handlers.AsyncHandler;
import org.jboss.logmanager.handlers.ConsoleHandler;
import org.verbenatally.settings.LogSettings;

/** Configures the log output of a process. */
public final class Logging {
    private static final String PATTERN = "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} %-5p %s%e%n";

    /** Maximum number of lines that wait to be written; holds a burst of one second. */
    private static final int QUEUE_CAPACITY = 1_024;

    private Logging() {}

    /**
     * Replaces the handlers of the root logger with one that writes to standard error, at the level and in the format
     * of the settings.
     */
    public static void configure(LogSettings settings) {
        ExtFormatter formatter = settings.getJson() ? new JsonLinesFormatter() : new PatternFormatter(PATTERN);
        var handler = new ConsoleHandler(ConsoleHandler.Target.SYSTEM_ERR, formatter);
        handler.setLevel(Level.ALL);
        // Netty and Vert.x write many lines below INFO that are of no use for diagnosing this system.
        boolean debug = settings.getLevel() == LogSettings.Level.DEBUG;
        replaceHandlers(handler, level(settings.getLevel()), debug ? Level.INFO : null);
    }

    /**
     * Replaces the handlers of the root logger with one that writes JSON to standard output, one object per line. Never
     * blocks: lines above {@code linesPerSecond} are dropped and counted, and lines that do not fit into the queue are
     * dropped.
     *
     * @param linesPerSecond maximum number of lines per second below level WARN
     */
    public static void configureStructured(int linesPerSecond) {
        var console = new ConsoleHandler(ConsoleHandler.Target.SYSTEM_OUT, new JsonLinesFormatter());
        console.setLevel(Level.ALL);
        var async = new AsyncHandler(QUEUE_CAPACITY);
        async.setOverflowAction(AsyncHandler.OverflowAction.DISCARD);
        async.addHandler(console);
        async.setFilter(new LogRateLimiter(linesPerSecond));
        replaceHandlers(async, Level.INFO, Level.WARN);
    }

    private static void replaceHandlers(
            Handler handler, java.util.logging.Level level, java.util.logging.Level libraryLevel) {
        var root = LogContext.getLogContext().getLogger("");
        for (Handler old : root.getHandlers()) {
            root.removeHandler(old);
            old.close();
        }
        root.addHandler(handler);
        root.setLevel(level);
        for (String library : List.of("io.netty", "io.vertx")) {
            LogContext.getLogContext().getLogger(library).setLevel(libraryLevel);
        }
    }

    private static java.util.logging.Level level(LogSettings.Level level) {
        return switch (level) {
            case DEBUG -> Level.DEBUG;
            case INFO -> Level.INFO;
            case WARN -> Level.WARN;
            case ERROR -> Level.ERROR;
        };
    }

    /** Formats each record as a JSON object on a line of its own. */
    static final class JsonLinesFormatter extends ExtFormatter {
        private static final ObjectMapper MAPPER = new ObjectMapper();

        @Override
        public String format(ExtLogRecord logRecord) {
            Map<String, Object> fields = new LinkedHashMap<>();
            fields.put("time", logRecord.getInstant().toString());
            fields.put("level", logRecord.getLevel().getName());
            if (logRecord.getParameters() != null
                    && logRecord.getParameters().length == 1
                    && logRecord.getParameters()[0] instanceof LogEvent event) {
                fields.put("event", event.name());
                fields.putAll(event.fields());
            } else {
                fields.put("logger", logRecord.getLoggerName());
                fields.put("thread", logRecord.getThreadName());
                fields.put("message", logRecord.getFormattedMessage());
            }
            if (logRecord.getThrown() != null) {
                fields.put("error", logRecord.getThrown().toString());
            }
            try {
                return MAPPER.writeValueAsString(fields) + "\n";
            } catch (JsonProcessingException e) {
                throw new UncheckedIOException(new IOException(e));
            }
        }
    }
}
