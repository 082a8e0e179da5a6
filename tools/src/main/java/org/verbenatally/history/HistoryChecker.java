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
import org.verbenatally.history.HistoryRecord.Answer;
import org.verbenatally.history.HistoryRecord.Run;
import org.verbenatally.history.HistoryRecord.Sent;

/** Checks a history against the invariants, one rule each. */
public final class HistoryChecker {
    private final Map<Rule, Function<History, List<String>>> rules = new EnumMap<>(Rule.class);

    /** Creates a checker with all rules. */
    public HistoryChecker() {
        rules.put(Rule.TOKENS_ONCE, AnswerRules::tokensOnce);
        rules.put(Rule.ANSWERS_MATCH, AnswerRules::answersMatch);
        rules.put(Rule.NOT_RUN_HELD, RunRules::notRunHeld);
        rules.put(Rule.AT_MOST_ONCE, RunRules::atMostOnce);
        rules.put(Rule.LEAVING_RESTS, RunRules::leavingRests);
        rules.put(Rule.CONFIG_MONOTONIC, InstanceRules::configMonotonic);
        rules.put(Rule.STOP_IS_GRACEFUL, InstanceRules::stopIsGraceful);
    }

    /** Applies all rules and counts the outcomes. */
    public HistoryReport check(History history) {
        List<Violation> violations = new ArrayList<>();
        rules.forEach(
                (rule, check) -> check.apply(history).forEach(detail -> violations.add(new Violation(rule, detail))));
        return new HistoryReport(violations, count(history));
    }

    private static HistoryReport.Counts count(History history) {
        List<Sent> sent = history.all(Sent.class);
        Map<String, List<Answer>> answers = history.by(Answer.class, Answer::request);
        Set<String> onceOnly =
                sent.stream().filter(each -> !each.repeatable()).map(Sent::work).collect(Collectors.toSet());
        Set<String> ran = history.all(Run.class).stream().map(Run::work).collect(Collectors.toSet());
        ran.retainAll(onceOnly);
        Set<String> unclear = new HashSet<>(onceOnly);
        sent.stream()
                .filter(each -> answers.getOrDefault(each.request(), List.of()).stream()
                        .anyMatch(answer -> answer.outcome() == Outcome.DONE || answer.outcome() == Outcome.NOT_RUN))
                .forEach(each -> unclear.remove(each.work()));
        return new HistoryReport.Counts(
                sent.size(),
                ended(sent, answers, Outcome.DONE),
                ended(sent, answers, Outcome.NOT_RUN),
                ended(sent, answers, Outcome.UNKNOWN),
                ended(sent, answers, null),
                sent.stream()
                        .filter(each -> !answers.containsKey(each.request()))
                        .count(),
                onceOnly.size(),
                ran.size(),
                unclear.size());
    }

    private static long ended(List<Sent> sent, Map<String, List<Answer>> answers, Outcome outcome) {
        return sent.stream()
                .filter(each -> answers.containsKey(each.request()))
                .filter(each -> answers.get(each.request()).getLast().outcome() == outcome)
                .count();
    }
}
