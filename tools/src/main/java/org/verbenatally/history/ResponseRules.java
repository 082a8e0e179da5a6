package org.verbenatally.history;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.stream.Collectors;

import org.verbenatally.core.Outcome;
import org.verbenatally.history.HistoryRecord.Response;
import org.verbenatally.history.HistoryRecord.Run;
import org.verbenatally.history.HistoryRecord.Sent;
import org.verbenatally.history.HistoryRecord.TokenReceived;

/** Rules on the responses that callers received. */
final class ResponseRules {
    private ResponseRules() {}

    /** Reports tokens of a request that are missing, duplicated, out of order or from a second generation. */
    static List<String> tokensOnce(History history) {
        List<String> violations = new ArrayList<>();
        history.groupBy(TokenReceived.class, TokenReceived::request).forEach((request, tokens) -> {
            String generation = tokens.getFirst().generation();
            long next = 0;
            for (TokenReceived token : tokens) {
                if (!Objects.equals(generation, token.generation())) {
                    violations.add("request %s received tokens of generations %s and %s"
                            .formatted(request, generation, token.generation()));
                    return;
                }
                if (token.offset() != next) {
                    violations.add(
                            "request %s received token %d, expected token %d".formatted(request, token.offset(), next));
                    return;
                }
                next++;
            }
        });
        return violations;
    }

    /** Reports responses that are incomplete or differ from what the targets produced for the same work. */
    static List<String> answersMatch(History history) {
        List<String> violations = new ArrayList<>();
        Map<String, List<Run>> runsByWork = history.groupBy(Run.class, Run::work);
        Map<String, Run> runsById = new HashMap<>();
        history.recordsOfType(Run.class).forEach(run -> runsById.put(run.run(), run));
        Map<String, List<TokenReceived>> tokensByRequest = history.groupBy(TokenReceived.class, TokenReceived::request);
        Map<String, List<Response>> responsesByRequest = history.groupBy(Response.class, Response::request);
        for (Sent sent : history.recordsOfType(Sent.class)) {
            List<Response> requestResponses = responsesByRequest.getOrDefault(sent.request(), List.of());
            if (requestResponses.size() > 1) {
                violations.add("request %s was answered %d times".formatted(sent.request(), requestResponses.size()));
            }
            if (sent.streamed()) {
                List<TokenReceived> receivedTokens = tokensByRequest.getOrDefault(sent.request(), List.of());
                checkStream(sent, receivedTokens, requestResponses, runsById, violations);
            } else if (!requestResponses.isEmpty() && requestResponses.getLast().outcome() == Outcome.DONE) {
                checkCompleteResponse(
                        sent, requestResponses.getLast(), runsByWork.getOrDefault(sent.work(), List.of()), violations);
            }
        }
        return violations;
    }

    private static void checkStream(
            Sent sent,
            List<TokenReceived> receivedTokens,
            List<Response> requestResponses,
            Map<String, Run> runsById,
            List<String> violations) {
        boolean done = !requestResponses.isEmpty() && requestResponses.getLast().outcome() == Outcome.DONE;
        if (done && requestResponses.getLast().tokens() != receivedTokens.size()) {
            violations.add("the stream of request %s ended with a count of %d tokens but delivered %d"
                    .formatted(sent.request(), requestResponses.getLast().tokens(), receivedTokens.size()));
        }
        if (receivedTokens.isEmpty()) {
            return;
        }
        Run run = runsById.get(receivedTokens.getFirst().generation());
        if (run == null) {
            violations.add("request %s received tokens of generation %s, which no target ran"
                    .formatted(sent.request(), receivedTokens.getFirst().generation()));
            return;
        }
        if (!run.work().equals(sent.work())) {
            violations.add("request %s for work %s received tokens of work %s"
                    .formatted(sent.request(), sent.work(), run.work()));
        }
        if (done && run.finished() && run.tokens() != receivedTokens.size()) {
            violations.add("request %s received %d of %d tokens"
                    .formatted(sent.request(), receivedTokens.size(), run.tokens()));
        }
        String text = receivedTokens.stream().map(TokenReceived::text).collect(Collectors.joining());
        if (run.text() != null && !run.text().startsWith(text)) {
            violations.add(
                    "request %s received text that differs from generation %s".formatted(sent.request(), run.run()));
        }
    }

    private static void checkCompleteResponse(Sent sent, Response response, List<Run> runs, List<String> violations) {
        if (runs.isEmpty()) {
            violations.add("request %s was answered with done although no target ran work %s"
                    .formatted(sent.request(), sent.work()));
            return;
        }
        boolean matched =
                runs.stream().anyMatch(run -> run.text() == null || run.text().equals(response.text()));
        if (!matched) {
            violations.add("request %s received a response that no run of work %s produced"
                    .formatted(sent.request(), sent.work()));
        }
    }
}
