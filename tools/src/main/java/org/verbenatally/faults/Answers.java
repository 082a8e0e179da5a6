package org.verbenatally.faults;

import java.util.stream.Collectors;
import java.util.stream.LongStream;

import com.fasterxml.jackson.databind.JsonNode;
import org.verbenatally.core.GenerationId;
import org.verbenatally.standin.TokenText;

/** The text of whole answers in one form for callers and targets, so that the checker can compare them. */
final class Answers {
    private Answers() {}

    /** Returns the text of a whole answer as a caller received it. */
    static String canonical(Work work, JsonNode body) {
        return work.onEngine() ? body.path("text").asText(null) : service(body);
    }

    /** Returns what a run of a plain service answers with. */
    static String service(JsonNode run) {
        return "%s %s %s %s"
                .formatted(
                        run.path("call").asText(),
                        run.path("kind").asText(),
                        run.path("work").asText(),
                        run.path("serial").asText());
    }

    /** Returns the first tokens of a generation. */
    static String generated(String generation, long tokens) {
        GenerationId id = new GenerationId(generation);
        return LongStream.range(0, tokens).mapToObj(at -> TokenText.of(id, at)).collect(Collectors.joining());
    }
}
