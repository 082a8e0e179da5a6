package org.verbenatally.history;

import java.util.List;
import java.util.Locale;

/**
 * What the checker found in a history.
 *
 * @param violations contradictions to the invariants
 * @param counts outcomes of the requests
 */
public record HistoryReport(List<Violation> violations, Counts counts) {

    /**
     * Outcomes of the requests of a history.
     *
     * @param requests copies that callers sent
     * @param done answered with {@code done}
     * @param notRun answered with {@code not-run}
     * @param unknown answered with {@code unknown}
     * @param lost ended without an answer
     * @param open without an end in the history
     * @param onceOnly pieces of non-repeatable work that were sent
     * @param onceOnlyRan pieces of non-repeatable work that ran
     * @param onceOnlyUnknown pieces of non-repeatable work for which no caller learned the outcome
     */
    public record Counts(
            long requests,
            long done,
            long notRun,
            long unknown,
            long lost,
            long open,
            long onceOnly,
            long onceOnlyRan,
            long onceOnlyUnknown) {

        /** Returns the figures as {@code name=value} pairs, with both shares of the non-repeatable work. */
        public String summary() {
            String outcomes = "requests=%d done=%d not-run=%d unknown=%d lost=%d open=%d"
                    .formatted(requests, done, notRun, unknown, lost, open);
            if (onceOnly == 0) {
                return outcomes;
            }
            return outcomes
                    + String.format(
                            Locale.ROOT,
                            " once-only=%d ran-share=%.3f unknown-share=%.3f",
                            onceOnly,
                            (double) onceOnlyRan / onceOnly,
                            (double) onceOnlyUnknown / onceOnly);
        }
    }

    /** Copies the violations. */
    public HistoryReport {
        violations = List.copyOf(violations);
    }

    /** Tells whether no rule was broken. */
    public boolean held() {
        return violations.isEmpty();
    }

    /** Returns how often a rule was broken. */
    public long broken(Rule rule) {
        return violations.stream().filter(each -> each.rule() == rule).count();
    }
}
