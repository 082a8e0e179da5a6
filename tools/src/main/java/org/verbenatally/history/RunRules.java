package org.verbenatally.history;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.verbenatally.core.Outcome;
import org.verbenatally.history.HistoryRecord.Answer;
import org.verbenatally.history.HistoryRecord.Leaving;
import org.verbenatally.history.HistoryRecord.Run;
import org.verbenatally.history.HistoryRecord.Sent;

/** Rules on what targets ran. */
final class RunRules {
    /** Invariant 5 of the design: a target that is leaving receives no new work after this time. */
    static final long LEAVING_BOUND_MS = 2_000;

    private RunRules() {}

    /**
     * Reports runs of work that a caller was told had not run.
     *
     * <p>A key has one outcome, so one {@code not-run} answer covers all copies with that key. Copies without a key are
     * separate requests: a run must belong to a copy that was sent before it and was not answered with
     * {@code not-run}.
     */
    static List<String> notRunHeld(History history) {
        List<String> found = new ArrayList<>();
        Set<String> refused = history.all(Answer.class).stream()
                .filter(answer -> answer.outcome() == Outcome.NOT_RUN)
                .map(Answer::request)
                .collect(Collectors.toSet());
        Map<String, List<Run>> runs = history.by(Run.class, Run::work);
        history.by(Sent.class, Sent::work).forEach((work, copies) -> {
            boolean keyed = copies.getFirst().key() != null;
            for (Run run : runs.getOrDefault(work, List.of())) {
                boolean broken = keyed
                        ? copies.stream().anyMatch(copy -> refused.contains(copy.request()))
                        : copies.stream()
                                .noneMatch(copy -> copy.atMs() <= run.atMs() && !refused.contains(copy.request()));
                if (broken) {
                    found.add("work %s was answered with not-run but ran on %s as %s"
                            .formatted(work, run.target(), run.run()));
                }
            }
        });
        return found;
    }

    /** Reports non-repeatable work that ran more than once. */
    static List<String> atMostOnce(History history) {
        Set<String> onceOnly = new HashSet<>();
        history.all(Sent.class).stream().filter(sent -> !sent.repeatable()).forEach(sent -> onceOnly.add(sent.work()));
        List<String> found = new ArrayList<>();
        history.by(Run.class, Run::work).forEach((work, runs) -> {
            if (onceOnly.contains(work) && runs.size() > 1) {
                found.add("work %s ran %d times, on %s"
                        .formatted(
                                work,
                                runs.size(),
                                runs.stream().map(Run::target).toList()));
            }
        });
        return found;
    }

    /** Reports runs that a target started too long after it was announced as leaving. */
    static List<String> leavingRests(History history) {
        Map<String, Long> since = new HashMap<>();
        history.all(Leaving.class).forEach(leaving -> since.merge(leaving.target(), leaving.atMs(), Math::min));
        return history.all(Run.class).stream()
                .filter(run -> since.containsKey(run.target()))
                .filter(run -> run.atMs() > since.get(run.target()) + LEAVING_BOUND_MS)
                .map(run -> "target %s started %s %d ms after it was announced as leaving"
                        .formatted(run.target(), run.run(), run.atMs() - since.get(run.target())))
                .toList();
    }
}
