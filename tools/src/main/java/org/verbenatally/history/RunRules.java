package org.verbenatally.history;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.verbenatally.core.Outcome;
import org.verbenatally.history.HistoryRecord.Leaving;
import org.verbenatally.history.HistoryRecord.Response;
import org.verbenatally.history.HistoryRecord.Run;
import org.verbenatally.history.HistoryRecord.Sent;

/** Rules on the work that targets ran. */
final class RunRules {
    /**
     * Time in milliseconds after the announcement that a target is leaving, after which the target must receive no new
     * work (invariant 5 of the design).
     */
    static final long LEAVING_BOUND_MS = 2_000;

    private RunRules() {}

    /**
     * Reports runs of work that was answered with {@code not-run}.
     *
     * <p>A key has a single outcome, so one {@code not-run} response applies to all copies with that key. Copies
     * without a key are separate requests: for each run there must be a copy that was sent before the run started and
     * was not answered with {@code not-run}.
     */
    static List<String> notRunHeld(History history) {
        List<String> violations = new ArrayList<>();
        Set<String> notRunRequests = history.recordsOfType(Response.class).stream()
                .filter(response -> response.outcome() == Outcome.NOT_RUN)
                .map(Response::request)
                .collect(Collectors.toSet());
        Map<String, List<Run>> runs = history.groupBy(Run.class, Run::work);
        history.groupBy(Sent.class, Sent::work).forEach((work, copies) -> {
            boolean hasKey = copies.getFirst().key() != null;
            for (Run run : runs.getOrDefault(work, List.of())) {
                boolean violated = hasKey
                        ? copies.stream().anyMatch(copy -> notRunRequests.contains(copy.request()))
                        : copies.stream()
                                .noneMatch(
                                        copy -> copy.atMs() <= run.atMs() && !notRunRequests.contains(copy.request()));
                if (violated) {
                    violations.add("work %s was answered with not-run but ran on %s as %s"
                            .formatted(work, run.target(), run.run()));
                }
            }
        });
        return violations;
    }

    /** Reports non-repeatable work that ran more than once. */
    static List<String> atMostOnce(History history) {
        Set<String> nonRepeatable = new HashSet<>();
        history.recordsOfType(Sent.class).stream()
                .filter(sent -> !sent.repeatable())
                .forEach(sent -> nonRepeatable.add(sent.work()));
        List<String> violations = new ArrayList<>();
        history.groupBy(Run.class, Run::work).forEach((work, runs) -> {
            if (nonRepeatable.contains(work) && runs.size() > 1) {
                violations.add("work %s ran %d times, on %s"
                        .formatted(
                                work,
                                runs.size(),
                                runs.stream().map(Run::target).toList()));
            }
        });
        return violations;
    }

    /** Reports runs that a target started more than {@link #LEAVING_BOUND_MS} after it was announced as leaving. */
    static List<String> leavingRests(History history) {
        Map<String, Long> leavingSinceMs = new HashMap<>();
        history.recordsOfType(Leaving.class)
                .forEach(leaving -> leavingSinceMs.merge(leaving.target(), leaving.atMs(), Math::min));
        return history.recordsOfType(Run.class).stream()
                .filter(run -> leavingSinceMs.containsKey(run.target()))
                .filter(run -> run.atMs() > leavingSinceMs.get(run.target()) + LEAVING_BOUND_MS)
                .map(run -> "target %s started %s %d ms after it was announced as leaving"
                        .formatted(run.target(), run.run(), run.atMs() - leavingSinceMs.get(run.target())))
                .toList();
    }
}
