package org.verbenatally.history;

import java.util.List;
import java.util.Locale;

/**
 * Result of checking a history.
 *
 * @param violations violations of the invariants
 * @param counts outcomes of the requests
 */
public record HistoryReport(List<Violation> violations, Counts counts) {

    /**
     * Outcomes of the requests of a history.
     *
     * @param requests copies that callers sent
     * @param done copies answered with {@code done}
     * @param notRun copies answered with {@code not-run}
     * @param unknown copies answered with {@code unknown}
     * @param lost copies whose connection ended without a response
     * @param open copies that were still open when the history ended
     * @param nonRepeatable non-repeatable work items that were sent
     * @param nonRepeatableRan non-repeatable work items that ran
     * @param nonRepeatableUnknown non-repeatable work items whose outcome was not reported to any caller
     */
    public record Counts(
            long requests,
            long done,
            long notRun,
            long unknown,
            long lost,
            long open,
            long nonRepeatable,
            long nonRepeatableRan,
            long nonRepeatableUnknown) {

        /**
         * Returns the counts as {@code name=value} pairs. If non-repeatable work was sent, adds its count and the
         * shares of it that ran and whose outcome is unknown.
         */
        public String summary() {
            String outcomes = "requests=%d done=%d not-run=%d unknown=%d lost=%d open=%d"
                    .formatted(requests, done, notRun, unknown, lost, open);
            if (nonRepeatable == 0) {
                return outcomes;
            }
            return outcomes
                    + String.format(
                            Locale.ROOT,
                            " once-only=%d ran-share=%.3f unknown-share=%.3f",
                            nonRepeatable,
                            (double) nonRepeatableRan / nonRepeatable,
                            (double) nonRepeatableUnknown / nonRepeatable);
        }
    }

    /** Copies the list of violations. */
    public HistoryReport {
        violations = List.copyOf(violations);
    }

    /** Returns whether the history violates no rule. */
    public boolean hasNoViolations() {
        return violations.isEmpty();
    }

    /** Returns the number of violations of a rule. */
    public long violationCount(Rule rule) {
        return violations.stream().filter(violation -> violation.rule() == rule).count();
    }
}
