package org.verbenatally.faults;

import java.util.stream.Collectors;
import java.util.stream.LongStream;

import com.fasterxml.jackson.databind.JsonNode;
import org.verbenatally.core.GenerationId;
import org.verbenatally.standin.TokenText;

/** Text of complete responses in one form for callers and targets, so that the checker can compare them. */
final class ResponseText {
    private ResponseText() {}

    /** Returns the text of a complete response that a caller received. */
    static String ofResponse(WorkItem work, JsonNode body) {
        return work.runsOnEngine() ? body.path("text").asText(null) : ofServiceRun(body);
    }

    /** Returns the text of the response to a run of a plain service. */
    static String ofServiceRun(JsonNode run) {
        return "%s %s %s %s"
                .formatted(
                        run.path("call").asText(),
                        run.path("kind").asText(),
                        run.path("work").asText(),
                        run.path("serial").asText());
    }

    /** Returns the text of the first {@code tokens} tokens of a generation. */
    static String ofGeneration(String generation, long tokens) {
        GenerationId id = new GenerationId(generation);
        return LongStream.range(0, tokens)
                .mapToObj(position -> TokenText.of(id, position))
                .collect(Collectors.joining());
    }
}
