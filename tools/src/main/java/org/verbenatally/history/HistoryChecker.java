package org.verbenatally.history;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.verbenatally.core.Outcome;
import org.verbenatally.history.HistoryRecord.Response;
import org.verbenatally.history.HistoryRecord.Run;
import org.verbenatally.history.HistoryRecord.Sent;

/** Checks a history against the invariants; each {@link Rule} covers one of them. */
public final class HistoryChecker {
    private final Map<Rule, Function<History, List<String>>> rules = new EnumMap<>(Rule.class);

    /** Creates a checker with all rules. */
    public HistoryChecker() {
        rules.put(Rule.TOKENS_ONCE, ResponseRules::tokensOnce);
        rules.put(Rule.ANSWERS_MATCH, ResponseRules::answersMatch);
        rules.put(Rule.NOT_RUN_HELD, RunRules::notRunHeld);
        rules.put(Rule.AT_MOST_ONCE, RunRules::atMostOnce);
        rules.put(Rule.LEAVING_RESTS, RunRules::leavingRests);
        rules.put(Rule.CONFIG_MONOTONIC, InstanceRules::configMonotonic);
        rules.put(Rule.STOP_IS_GRACEFUL, InstanceRules::stopIsGraceful);
    }

    /** Applies all rules and counts the outcomes of the requests. */
    public HistoryReport check(History history) {
        List<Violation> violations = new ArrayList<>();
        rules.forEach(
                (rule, check) -> check.apply(history).forEach(detail -> violations.add(new Violation(rule, detail))));
        return new HistoryReport(violations, count(history));
    }

    private static HistoryReport.Counts count(History history) {
        List<Sent> sent = history.recordsOfType(Sent.class);
        Map<String, List<Response>> responsesByRequest = history.groupBy(Response.class, Response::request);
        Set<String> nonRepeatable =
                sent.stream().filter(copy -> !copy.repeatable()).map(Sent::work).collect(Collectors.toSet());
        Set<String> executed =
                history.recordsOfType(Run.class).stream().map(Run::work).collect(Collectors.toSet());
        executed.retainAll(nonRepeatable);
        Set<String> unknown = new HashSet<>(nonRepeatable);
        sent.stream()
                .filter(copy -> responsesByRequest.getOrDefault(copy.request(), List.of()).stream()
                        .anyMatch(response ->
                                response.outcome() == Outcome.DONE || response.outcome() == Outcome.NOT_RUN))
                .forEach(copy -> unknown.remove(copy.work()));
        return new HistoryReport.Counts(
                sent.size(),
                countByOutcome(sent, responsesByRequest, Outcome.DONE),
                countByOutcome(sent, responsesByRequest, Outcome.NOT_RUN),
                countByOutcome(sent, responsesByRequest, Outcome.UNKNOWN),
                countByOutcome(sent, responsesByRequest, null),
                sent.stream()
                        .filter(copy -> !responsesByRequest.containsKey(copy.request()))
                        .count(),
                nonRepeatable.size(),
                executed.size(),
                unknown.size());
    }

    private static long countByOutcome(
            List<Sent> sent, Map<String, List<Response>> responsesByRequest, Outcome outcome) {
        return sent.stream()
                .filter(copy -> responsesByRequest.containsKey(copy.request()))
                .filter(copy -> responsesByRequest.get(copy.request()).getLast().outcome() == outcome)
                .count();
    }
}
