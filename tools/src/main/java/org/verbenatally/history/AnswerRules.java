package org.verbenatally.history;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.stream.Collectors;

import org.verbenatally.core.Outcome;
import org.verbenatally.history.HistoryRecord.Answer;
import org.verbenatally.history.HistoryRecord.Run;
import org.verbenatally.history.HistoryRecord.Sent;
import org.verbenatally.history.HistoryRecord.TokenSeen;

/** Rules on what callers received. */
final class AnswerRules {
    private AnswerRules() {}

    /** Reports gaps, repeats, changes of order and changes of generation in the tokens of each request. */
    static List<String> tokensOnce(History history) {
        List<String> found = new ArrayList<>();
        history.by(TokenSeen.class, TokenSeen::request).forEach((request, tokens) -> {
            String generation = tokens.getFirst().generation();
            long next = 0;
            for (TokenSeen token : tokens) {
                if (!Objects.equals(generation, token.generation())) {
                    found.add("request %s received tokens of generations %s and %s"
                            .formatted(request, generation, token.generation()));
                    return;
                }
                if (token.offset() != next) {
                    found.add(
                            "request %s received token %d where %d was next".formatted(request, token.offset(), next));
                    return;
                }
                next++;
            }
        });
        return found;
    }

    /** Reports answers that differ from what the targets produced for the same work, and answers that are not whole. */
    static List<String> answersMatch(History history) {
        List<String> found = new ArrayList<>();
        Map<String, List<Run>> runsByWork = history.by(Run.class, Run::work);
        Map<String, Run> runsById = new HashMap<>();
        history.all(Run.class).forEach(run -> runsById.put(run.run(), run));
        Map<String, List<TokenSeen>> tokens = history.by(TokenSeen.class, TokenSeen::request);
        Map<String, List<Answer>> answers = history.by(Answer.class, Answer::request);
        for (Sent sent : history.all(Sent.class)) {
            List<Answer> ends = answers.getOrDefault(sent.request(), List.of());
            if (ends.size() > 1) {
                found.add("request %s was answered %d times".formatted(sent.request(), ends.size()));
            }
            if (sent.streamed()) {
                List<TokenSeen> seen = tokens.getOrDefault(sent.request(), List.of());
                checkStream(sent, seen, ends, runsById, found);
            } else if (!ends.isEmpty() && ends.getLast().outcome() == Outcome.DONE) {
                checkWhole(sent, ends.getLast(), runsByWork.getOrDefault(sent.work(), List.of()), found);
            }
        }
        return found;
    }

    private static void checkStream(
            Sent sent, List<TokenSeen> seen, List<Answer> ends, Map<String, Run> runs, List<String> found) {
        boolean done = !ends.isEmpty() && ends.getLast().outcome() == Outcome.DONE;
        if (done && ends.getLast().tokens() != seen.size()) {
            found.add("request %s ended with %d tokens but received %d"
                    .formatted(sent.request(), ends.getLast().tokens(), seen.size()));
        }
        if (seen.isEmpty()) {
            return;
        }
        Run run = runs.get(seen.getFirst().generation());
        if (run == null) {
            found.add("request %s received tokens of generation %s, which no target ran"
                    .formatted(sent.request(), seen.getFirst().generation()));
            return;
        }
        if (!run.work().equals(sent.work())) {
            found.add("request %s for work %s received tokens of work %s"
                    .formatted(sent.request(), sent.work(), run.work()));
        }
        if (done && run.finished() && run.tokens() != seen.size()) {
            found.add("request %s received %d of %d tokens".formatted(sent.request(), seen.size(), run.tokens()));
        }
        String text = seen.stream().map(TokenSeen::text).collect(Collectors.joining());
        if (run.text() != null && !run.text().startsWith(text)) {
            found.add("request %s received text that differs from generation %s".formatted(sent.request(), run.run()));
        }
    }

    private static void checkWhole(Sent sent, Answer answer, List<Run> runs, List<String> found) {
        if (runs.isEmpty()) {
            found.add("request %s was answered with done, but no target ran work %s"
                    .formatted(sent.request(), sent.work()));
            return;
        }
        boolean matched =
                runs.stream().anyMatch(run -> run.text() == null || run.text().equals(answer.text()));
        if (!matched) {
            found.add("request %s received an answer that no run of work %s produced"
                    .formatted(sent.request(), sent.work()));
        }
    }
}
