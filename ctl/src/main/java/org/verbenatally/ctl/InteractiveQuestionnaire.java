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
 * an empty line accepts the default, and a question mark shows which values are valid.
 */
final class InteractiveQuestionnaire {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Console console;
    private final JsonNode schema;

    InteractiveQuestionnaire(Console console) throws IOException {
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

    private ObjectNode askObject(JsonNode objectSchema, String prefix) throws IOException {
        ObjectNode result = MAPPER.createObjectNode();
        for (var property : objectSchema.get("properties").properties()) {
            boolean required = contains(objectSchema.path("required"), property.getKey());
            Optional<JsonNode> answer = askProperty(property.getValue(), prefix, required);
            answer.ifPresent(value -> result.set(property.getKey(), value));
        }
        return result;
    }

    private Optional<JsonNode> askProperty(JsonNode property, String prefix, boolean required) throws IOException {
        if (!"array".equals(property.path("type").asText())) {
            return askValue(property, prefix, required);
        }
        boolean scalarItems = !property.path("items").has("$ref");
        return Optional.of(scalarItems ? askNames(property, prefix) : askList(property, prefix));
    }

    private ArrayNode askNames(JsonNode property, String prefix) throws IOException {
        ArrayNode list = MAPPER.createArrayNode();
        String line = prompt(prefix + property.path("description").asText() + " (separated by commas) []");
        for (String name : line.split(",")) {
            if (!name.isBlank()) {
                list.add(name.strip());
            }
        }
        return list;
    }

    private ArrayNode askList(JsonNode property, String prefix) throws IOException {
        ArrayNode list = MAPPER.createArrayNode();
        JsonNode itemSchema = definition(property.path("items"));
        boolean needsOne = property.path("minItems").asInt(0) > 0;
        console.err().println(prefix + property.path("description").asText());
        while (list.isEmpty() && needsOne || askYesNo("%s  one more (%d so far)?".formatted(prefix, list.size()))) {
            list.add(askObject(itemSchema, prefix + "  " + (list.size() + 1) + ": "));
        }
        return list;
    }

    private boolean askYesNo(String question) throws IOException {
        return prompt(question + " yes/no [no]").toLowerCase(Locale.ROOT).startsWith("y");
    }

    private Optional<JsonNode> askValue(JsonNode property, String prefix, boolean required) throws IOException {
        // Null if the answer is required and has no default, empty if the answer may be omitted.
        String defaultValue = property.has("default") ? property.get("default").asText() : required ? null : "";
        String question = prefix
                + property.path("description").asText()
                + choices(property)
                + (defaultValue == null ? "" : " [" + (defaultValue.isEmpty() ? "none" : defaultValue) + "]");
        while (true) {
            String line = prompt(question);
            if (line.equals("?")) {
                console.err().println("  " + constraints(property));
                continue;
            }
            if (line.isEmpty() && defaultValue != null) {
                return defaultValue.isEmpty() ? Optional.empty() : parse(property, defaultValue);
            }
            Optional<JsonNode> value = parse(property, line);
            if (value.isPresent()) {
                return value;
            }
            console.err().println("  expected " + constraints(property));
        }
    }

    /** Returns the value, or empty if the line is not a valid value of the property. */
    private static Optional<JsonNode> parse(JsonNode property, String line) {
        var nodes = MAPPER.getNodeFactory();
        try {
            return switch (property.path("type").asText()) {
                case "integer" -> ifInRange(property, Long.parseLong(line)).map(v -> nodes.numberNode(v.longValue()));
                case "number" -> ifInRange(property, Double.parseDouble(line)).map(nodes::numberNode);
                case "boolean" -> parseBoolean(line).map(nodes::booleanNode);
                default -> isValidText(property, line) ? Optional.of(nodes.textNode(line)) : Optional.empty();
            };
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    private static Optional<Double> ifInRange(JsonNode property, double value) {
        boolean tooLow = value < property.path("minimum").asDouble(-Double.MAX_VALUE)
                || value <= property.path("exclusiveMinimum").asDouble(-Double.MAX_VALUE);
        boolean tooHigh = value > property.path("maximum").asDouble(Double.MAX_VALUE);
        return tooLow || tooHigh || Double.isNaN(value) ? Optional.empty() : Optional.of(value);
    }

    private static Optional<Boolean> parseBoolean(String line) {
        return switch (line.toLowerCase(Locale.ROOT)) {
            case "y", "yes", "true" -> Optional.of(true);
            case "n", "no", "false" -> Optional.of(false);
            default -> Optional.empty();
        };
    }

    private static boolean isValidText(JsonNode property, String line) {
        if (property.has("enum")) {
            return contains(property.get("enum"), line);
        }
        boolean validLength = line.length() >= property.path("minLength").asInt(1)
                && line.length() <= property.path("maxLength").asInt(Integer.MAX_VALUE);
        return validLength
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

    /** Returns the type of a property and the constraints on its value, as text. */
    private static String constraints(JsonNode property) {
        StringBuilder text = new StringBuilder("a value of type ")
                .append(property.path("type").asText("string"));
        for (String keyword : List.of("enum", "pattern", "minimum", "exclusiveMinimum", "maximum", "maxLength")) {
            if (property.has(keyword)) {
                text.append(", ").append(keyword).append(' ').append(property.get(keyword));
            }
        }
        return text.toString();
    }

    /** Returns the definition in the schema to which {@code $ref} points. */
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
