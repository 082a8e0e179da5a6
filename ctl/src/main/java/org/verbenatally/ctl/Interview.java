package org.verbenatally.ctl;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.Optional;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.verbenatally.settings.AnswersDocument;

/**
 * Asks the questions of {@code answers.schema.json} in a terminal. Each question shows its choices and its default;
 * an empty line takes the default, a question mark shows the help.
 */
final class Interview {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Console console;
    private final JsonNode schema;

    Interview(Console console) throws IOException {
        this.console = Objects.requireNonNull(console, "console");
        try (InputStream in = AnswersDocument.class.getClassLoader().getResourceAsStream("answers.schema.json")) {
            schema = MAPPER.readTree(in);
        }
    }

    /** Asks all questions and returns the answers as JSON. */
    String ask() throws IOException {
        console.err().println("An empty line takes the default in brackets; ? shows what is expected.");
        ObjectNode answers = askObject(schema, "");
        return MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(answers) + "\n";
    }

    private ObjectNode askObject(JsonNode type, String title) throws IOException {
        ObjectNode result = MAPPER.createObjectNode();
        for (var property : type.get("properties").properties()) {
            boolean required = contains(type.path("required"), property.getKey());
            Optional<JsonNode> answer = askProperty(property.getValue(), title, required);
            answer.ifPresent(value -> result.set(property.getKey(), value));
        }
        return result;
    }

    private Optional<JsonNode> askProperty(JsonNode property, String title, boolean required) throws IOException {
        if (!"array".equals(property.path("type").asText())) {
            return askValue(property, title, required);
        }
        boolean plain = !property.path("items").has("$ref");
        return Optional.of(plain ? askNames(property, title) : askList(property, title));
    }

    private ArrayNode askNames(JsonNode property, String title) throws IOException {
        ArrayNode list = MAPPER.createArrayNode();
        String line = prompt(title + property.path("description").asText() + " (separated by commas) []");
        for (String name : line.split(",")) {
            if (!name.isBlank()) {
                list.add(name.strip());
            }
        }
        return list;
    }

    private ArrayNode askList(JsonNode property, String title) throws IOException {
        ArrayNode list = MAPPER.createArrayNode();
        JsonNode type = definition(property.path("items"));
        boolean needsOne = property.path("minItems").asInt(0) > 0;
        console.err().println(title + property.path("description").asText());
        while (list.isEmpty() && needsOne || askYes("%s  one more (%d so far)?".formatted(title, list.size()))) {
            list.add(askObject(type, title + "  " + (list.size() + 1) + ": "));
        }
        return list;
    }

    private boolean askYes(String question) throws IOException {
        return prompt(question + " yes/no [no]").toLowerCase(Locale.ROOT).startsWith("y");
    }

    private Optional<JsonNode> askValue(JsonNode property, String title, boolean required) throws IOException {
        String preset = property.has("default") ? property.get("default").asText() : required ? null : "";
        String question = title
                + property.path("description").asText()
                + choices(property)
                + (preset == null ? "" : " [" + (preset.isEmpty() ? "none" : preset) + "]");
        while (true) {
            String line = prompt(question);
            if (line.equals("?")) {
                console.err().println("  " + expected(property));
                continue;
            }
            if (line.isEmpty() && preset != null) {
                return preset.isEmpty() ? Optional.empty() : parse(property, preset);
            }
            Optional<JsonNode> value = parse(property, line);
            if (value.isPresent()) {
                return value;
            }
            console.err().println("  expected " + expected(property));
        }
    }

    /** Returns the value, or empty if the line does not fit the property. */
    private static Optional<JsonNode> parse(JsonNode property, String line) {
        var nodes = MAPPER.getNodeFactory();
        try {
            return switch (property.path("type").asText()) {
                case "integer" -> inRange(property, Long.parseLong(line)).map(v -> nodes.numberNode(v.longValue()));
                case "number" -> inRange(property, Double.parseDouble(line)).map(nodes::numberNode);
                case "boolean" -> parseYes(line).map(nodes::booleanNode);
                default -> isText(property, line) ? Optional.of(nodes.textNode(line)) : Optional.empty();
            };
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    private static Optional<Double> inRange(JsonNode property, double value) {
        boolean low = value < property.path("minimum").asDouble(-Double.MAX_VALUE)
                || value <= property.path("exclusiveMinimum").asDouble(-Double.MAX_VALUE);
        boolean high = value > property.path("maximum").asDouble(Double.MAX_VALUE);
        return low || high || Double.isNaN(value) ? Optional.empty() : Optional.of(value);
    }

    private static Optional<Boolean> parseYes(String line) {
        return switch (line.toLowerCase(Locale.ROOT)) {
            case "y", "yes", "true" -> Optional.of(true);
            case "n", "no", "false" -> Optional.of(false);
            default -> Optional.empty();
        };
    }

    private static boolean isText(JsonNode property, String line) {
        if (property.has("enum")) {
            return contains(property.get("enum"), line);
        }
        boolean fits = line.length() >= property.path("minLength").asInt(1)
                && line.length() <= property.path("maxLength").asInt(Integer.MAX_VALUE);
        return fits
                && (!property.has("pattern")
                        || Pattern.compile(property.get("pattern").asText())
                                .matcher(line)
                                .find());
    }

    private static String choices(JsonNode property) {
        if (property.has("enum")) {
            List<String> names = new ArrayList<>();
            property.get("enum").forEach(name -> names.add(name.asText()));
            return " " + String.join("/", names);
        }
        return "boolean".equals(property.path("type").asText()) ? " yes/no" : "";
    }

    private static String expected(JsonNode property) {
        StringBuilder text = new StringBuilder("a value of type ")
                .append(property.path("type").asText("string"));
        for (String limit : List.of("enum", "pattern", "minimum", "exclusiveMinimum", "maximum", "maxLength")) {
            if (property.has(limit)) {
                text.append(", ").append(limit).append(' ').append(property.get(limit));
            }
        }
        return text.toString();
    }

    private JsonNode definition(JsonNode reference) {
        String path = reference.path("$ref").asText().substring(1);
        return schema.at(path);
    }

    private String prompt(String question) throws IOException {
        console.err().print(question + ": ");
        console.err().flush();
        String line = console.in().readLine();
        if (line == null) {
            throw new EOFException("the input ended before all questions were answered");
        }
        return line.strip();
    }

    private static boolean contains(JsonNode array, String text) {
        for (JsonNode item : array) {
            if (item.asText().equals(text)) {
                return true;
            }
        }
        return false;
    }
}
