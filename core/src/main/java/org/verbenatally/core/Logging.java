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
import org.jboss.logmanager.handlers.ConsoleHandler;
import org.verbenatally.settings.LogSettings;

/** Sets up log output of a process: level and form by setting, always to standard error. */
public final class Logging {
    private static final String PATTERN = "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} %-5p %s%e%n";

    private Logging() {}

    /** Replaces the handlers of the root logger according to the settings. */
    public static void configure(LogSettings settings) {
        var root = LogContext.getLogContext().getLogger("");
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
            handler.close();
        }
        ExtFormatter formatter = settings.getJson() ? new JsonLines() : new PatternFormatter(PATTERN);
        var handler = new ConsoleHandler(ConsoleHandler.Target.SYSTEM_ERR, formatter);
        handler.setLevel(Level.ALL);
        root.addHandler(handler);
        root.setLevel(level(settings.getLevel()));
        // Netty and Vert.x write many lines below INFO that say nothing about this system.
        boolean debug = settings.getLevel() == LogSettings.Level.DEBUG;
        for (String library : List.of("io.netty", "io.vertx")) {
            LogContext.getLogContext().getLogger(library).setLevel(debug ? Level.INFO : null);
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

    /** Formats each record as one JSON object a line. */
    static final class JsonLines extends ExtFormatter {
        private static final ObjectMapper MAPPER = new ObjectMapper();

        @Override
        public String format(ExtLogRecord r) {
            Map<String, Object> fields = new LinkedHashMap<>();
            fields.put("time", r.getInstant().toString());
            fields.put("level", r.getLevel().getName());
            fields.put("logger", r.getLoggerName());
            fields.put("thread", r.getThreadName());
            fields.put("message", r.getFormattedMessage());
            if (r.getThrown() != null) {
                fields.put("error", r.getThrown().toString());
            }
            try {
                return MAPPER.writeValueAsString(fields) + "\n";
            } catch (JsonProcessingException e) {
                throw new UncheckedIOException(new IOException(e));
            }
        }
    }
}
