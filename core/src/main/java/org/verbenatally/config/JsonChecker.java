package org.verbenatally.config;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.PathType;
import com.networknt.schema.SchemaValidatorsConfig;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;

/** Reads JSON with comments, validates it against a schema and binds it to the class generated from that schema. */
final class JsonChecker<T> {
    /** Maximum number of faults reported for a document; further ones rarely help, and log lines stay short. */
    private static final int MAX_FAULTS = 100;

    private static final JsonMapper MAPPER = JsonMapper.builder()
            .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();

    private final Class<T> type;
    private final JsonSchema schema;

    JsonChecker(Class<T> type, String schemaResource) {
        this.type = type;
        try (InputStream in = type.getClassLoader().getResourceAsStream(schemaResource)) {
            JsonNode node = MAPPER.readTree(in);
            removeGeneratorKeywords(node);
            SchemaValidatorsConfig config = SchemaValidatorsConfig.builder()
                    .pathType(PathType.JSON_POINTER)
                    .locale(Locale.ROOT)
                    .build();
            schema = JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012)
                    .getSchema(node, config);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Reads and validates a document.
     *
     * @throws ConfigException if it is not JSON or does not match the schema; lists at most {@link #MAX_FAULTS} faults
     */
    T read(String source, byte[] json) throws ConfigException {
        JsonNode tree = parse(source, json);
        List<ConfigException.Fault> faults = validate(json, tree);
        if (!faults.isEmpty()) {
            throw new ConfigException(source, faults);
        }
        try {
            return MAPPER.treeToValue(tree, type);
        } catch (JsonProcessingException e) {
            throw new ConfigException(source, List.of(syntaxFault(e)));
        }
    }

    private static JsonNode parse(String source, byte[] json) throws ConfigException {
        try {
            return MAPPER.readTree(json);
        } catch (JsonProcessingException e) {
            throw new ConfigException(source, List.of(syntaxFault(e)));
        } catch (IOException e) {
            // Bytes that are no characters in the encoding that their beginning suggests.
            throw new ConfigException(
                    source, List.of(new ConfigException.Fault(0, "", "must be valid JSON: " + e.getMessage())));
        }
    }

    private static ConfigException.Fault syntaxFault(JsonProcessingException e) {
        int line = e.getLocation() == null ? 0 : e.getLocation().getLineNr();
        return new ConfigException.Fault(line, "", "must be valid JSON: " + e.getOriginalMessage());
    }

    private List<ConfigException.Fault> validate(byte[] json, JsonNode tree) {
        var messages = schema.validate(tree);
        if (messages.isEmpty()) {
            return List.of();
        }
        Map<String, Integer> lines = lines(json);
        return messages.stream()
                .map(message -> fault(message, lines))
                .sorted(Comparator.comparingInt(ConfigException.Fault::line))
                .limit(MAX_FAULTS)
                .toList();
    }

    private static ConfigException.Fault fault(ValidationMessage message, Map<String, Integer> lines) {
        String field = message.getInstanceLocation().toString();
        String expected = message.getError();
        boolean unknown = "additionalProperties".equals(message.getType());
        if (unknown) {
            expected = "unknown field";
        }
        String location = field;
        if (message.getProperty() != null) {
            field = field + "/" + message.getProperty();
            location = unknown ? field : location;
        }
        return new ConfigException.Fault(lines.getOrDefault(location, 0), field, expected);
    }

    /**
     * Returns the line number of each value by JSON pointer. Parses the document a second time, which is only needed
     * for documents with faults.
     */
    static Map<String, Integer> lines(byte[] json) {
        Map<String, Integer> lines = new HashMap<>();
        try (JsonParser parser = MAPPER.createParser(json)) {
            for (JsonToken token = parser.nextToken(); token != null; token = parser.nextToken()) {
                if (token != JsonToken.FIELD_NAME && token != JsonToken.END_ARRAY && token != JsonToken.END_OBJECT) {
                    var context =
                            token.isStructStart() ? parser.getParsingContext().getParent() : parser.getParsingContext();
                    String pointer = context.pathAsPointer().toString();
                    lines.putIfAbsent(pointer, parser.currentTokenLocation().getLineNr());
                }
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return lines;
    }

    /** Removes the keywords that only the class generator reads; the validator would warn about each of them. */
    private static void removeGeneratorKeywords(JsonNode node) {
        if (node instanceof ObjectNode object) {
            object.remove(List.of("javaType", "existingJavaType"));
        }
        List<JsonNode> children = new ArrayList<>();
        node.forEach(children::add);
        children.forEach(JsonChecker::removeGeneratorKeywords);
    }
}
