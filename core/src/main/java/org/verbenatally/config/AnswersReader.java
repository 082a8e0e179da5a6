package org.verbenatally.config;

import java.util.List;
import java.util.Objects;

import org.verbenatally.settings.AnswersDocument;

/** Reads answers to the questionnaire: JSON with comments, validated against {@code answers.schema.json}. */
public final class AnswersReader {
    private static final JsonChecker<AnswersDocument> CHECKER =
            new JsonChecker<>(AnswersDocument.class, "answers.schema.json");

    private AnswersReader() {}

    /**
     * Reads answers.
     *
     * @param source name of the document for error messages
     * @param json the document, at most {@link ConfigReader#MAX_BYTES}
     * @throws ConfigException if the answers do not match the schema; lists the faults
     */
    public static AnswersDocument read(String source, byte[] json) throws ConfigException {
        Objects.requireNonNull(json, "json");
        if (json.length > ConfigReader.MAX_BYTES) {
            throw new ConfigException(
                    source,
                    List.of(new ConfigException.Fault(0, "", "must be at most " + ConfigReader.MAX_BYTES + " bytes")));
        }
        return CHECKER.read(source, json);
    }
}
