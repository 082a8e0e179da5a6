package org.verbenatally.ctl;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.DateTimeException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Log lines of several instances about one request: the lines of the request, and what the instances logged about its
 * targets, the configuration and themselves at that time.
 */
final class LogTrace {
    /** Events from shortly before the first line of a request are included: they explain the choice of its target. */
    private static final Duration LEAD_TIME = Duration.ofSeconds(2);

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String STANDARD_INPUT = "-";
    /** Fields that are left out of the details of a line. */
    private static final Set<String> COMMON_FIELDS = Set.of("time", "level", "event", "request");

    private final List<Line> lines;

    /**
     * One structured log line.
     *
     * @param time when the line was written
     * @param instance name of the instance that wrote the line
     * @param fields JSON object of the line
     */
    private record Line(Instant time, String instance, JsonNode fields) {
        String event() {
            return fields.path("event").asText();
        }

        boolean isAbout(String request) {
            return fields.path("request").asText().equals(request);
        }

        /** Returns all fields that have a value, except the common ones, as text. */
        String details() {
            StringBuilder text = new StringBuilder();
            for (Iterator<Map.Entry<String, JsonNode>> i = fields.fields(); i.hasNext(); ) {
                Map.Entry<String, JsonNode> field = i.next();
                if (!COMMON_FIELDS.contains(field.getKey())
                        && !field.getValue().asText().isEmpty()) {
                    text.append("  ")
                            .append(field.getKey())
                            .append(' ')
                            .append(field.getValue().asText());
                }
            }
            return text.toString();
        }
    }

    private LogTrace(List<Line> lines) {
        this.lines = lines;
    }

    /**
     * Reads the lines about a request and those that are not about any request.
     *
     * @param request id of the request
     * @param files log files, {@code -} for standard input; the instance of a line is named by the word before its JSON
     *     object or, if there is none, by the file name without its extension
     * @param in standard input
     * @throws IOException if a file cannot be read
     */
    static LogTrace read(String request, List<String> files, BufferedReader in) throws IOException {
        List<Line> lines = new ArrayList<>();
        for (String file : files) {
            if (file.equals(STANDARD_INPUT)) {
                read(request, in, STANDARD_INPUT, lines);
            } else {
                Path path = Path.of(file);
                String defaultInstance = path.getFileName().toString().replaceFirst("\\.[^.]*$", "");
                try (BufferedReader reader = Files.newBufferedReader(path)) {
                    read(request, reader, defaultInstance, lines);
                }
            }
        }
        lines.sort(Comparator.comparing(Line::time));
        return new LogTrace(lines);
    }

    private static void read(String request, BufferedReader reader, String defaultInstance, List<Line> lines)
            throws IOException {
        for (String text = reader.readLine(); text != null; text = reader.readLine()) {
            parse(text, defaultInstance)
                    .filter(line -> !line.event().isEmpty())
                    .filter(line -> line.isAbout(request)
                            || !line.fields().has("request")
                                    && !line.event().startsWith("request.")
                                    && !line.event().startsWith("stream."))
                    .ifPresent(lines::add);
        }
    }

    /** Returns the parsed line, or empty for lines of other programs and for truncated lines. */
    private static Optional<Line> parse(String text, String defaultInstance) {
        int jsonStart = text.indexOf('{');
        if (jsonStart < 0) {
            return Optional.empty();
        }
        try {
            JsonNode fields = MAPPER.readTree(text.substring(jsonStart));
            String[] prefixWords = text.substring(0, jsonStart).strip().split("\\s+");
            String instance = prefixWords[prefixWords.length - 1].isEmpty()
                    ? defaultInstance
                    : prefixWords[prefixWords.length - 1];
            return Optional.of(new Line(Instant.parse(fields.path("time").asText()), instance, fields));
        } catch (JsonProcessingException | DateTimeException e) {
            return Optional.empty();
        }
    }

    /** Returns whether any line is about the request. */
    boolean isKnown() {
        return lines.stream().anyMatch(line -> line.fields().has("request"));
    }

    /**
     * Prints the lines of the request in order of time and, between them, the events of the targets that it was sent to
     * and of the instances that logged it, marked with an asterisk. Times are in seconds since the first line of the
     * request.
     */
    void print(Console console) {
        List<Line> requestLines = select(line -> line.fields().has("request"));
        Instant start = requestLines.getFirst().time();
        Instant end = requestLines.getLast().time();
        Set<String> targets = requestLines.stream()
                .flatMap(line -> List.of("target", "from").stream()
                        .map(field -> line.fields().path(field).asText()))
                .filter(target -> !target.isEmpty())
                .collect(Collectors.toSet());
        Set<String> instances = requestLines.stream().map(Line::instance).collect(Collectors.toSet());
        select(line -> line.fields().has("request")
                        || !line.time().isBefore(start.minus(LEAD_TIME))
                                && !line.time().isAfter(end)
                                && isRelevant(line, targets, instances))
                .forEach(line -> console.out()
                        .printf(
                                "%+9.3f s  %-20s %s %-22s%s%n",
                                Duration.between(start, line.time()).toNanos() / 1e9,
                                line.instance(),
                                line.fields().has("request") ? " " : "*",
                                line.event(),
                                line.details()));
    }

    /** Returns whether a line is about one of the targets or, if it names no target, is from one of the instances. */
    private static boolean isRelevant(Line line, Set<String> targets, Set<String> instances) {
        String target = line.fields().path("target").asText();
        return target.isEmpty() ? instances.contains(line.instance()) : targets.contains(target);
    }

    private List<Line> select(Predicate<Line> condition) {
        return lines.stream().filter(condition).toList();
    }
}
