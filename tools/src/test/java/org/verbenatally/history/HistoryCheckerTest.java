package org.verbenatally.history;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.verbenatally.core.Outcome;
import org.verbenatally.history.HistoryRecord.Fault;
import org.verbenatally.history.HistoryRecord.Leaving;
import org.verbenatally.history.HistoryRecord.Response;
import org.verbenatally.history.HistoryRecord.Run;
import org.verbenatally.history.HistoryRecord.Sent;
import org.verbenatally.history.HistoryRecord.Stop;
import org.verbenatally.history.HistoryRecord.TokenReceived;
import org.verbenatally.history.HistoryRecord.VersionReported;

import static org.assertj.core.api.Assertions.assertThat;

class HistoryCheckerTest {
    private static final HistoryRecord GUIDE = new Sent(1, "r1", "w1", "guide", true, true, null, "e1");
    private static final HistoryRecord GUIDE_RUN = new Run(2, "t1", "g1", "w1", true, 2, "ab");
    // Has no text, so that tokens out of order violate only one rule.
    private static final HistoryRecord RUN_WITHOUT_TEXT = new Run(2, "t1", "g1", "w1", false, 2, null);
    private static final HistoryRecord FIRST = token("r1", "g1", 0, "a");
    private static final HistoryRecord SECOND = token("r1", "g1", 1, "b");
    private static final HistoryRecord GUIDE_DONE = end("r1", Outcome.DONE, 2, null);
    private static final HistoryRecord BOOKING = new Sent(1, "r2", "w2", "order-booking", false, false, "k2", "e1");
    private static final HistoryRecord BOOKING_RUN = new Run(3, "s1", "c2", "w2", true, 0, "ok w2");
    private static final HistoryRecord BOOKING_DONE = end("r2", Outcome.DONE, -1, "ok w2");

    private static HistoryRecord token(String request, String generation, long offset, String text) {
        return new TokenReceived(4, request, generation, offset, text);
    }

    private static HistoryRecord end(String request, Outcome outcome, long tokens, String text) {
        return new Response(10, request, outcome, 200, null, null, tokens, text);
    }

    private static History history(HistoryRecord... records) {
        return History.of(records);
    }

    static Stream<Arguments> plantedAnswers() {
        return Stream.of(
                violationCase("duplicate token", Rule.TOKENS_ONCE, GUIDE, RUN_WITHOUT_TEXT, FIRST, FIRST),
                violationCase("tokens out of order", Rule.TOKENS_ONCE, GUIDE, RUN_WITHOUT_TEXT, SECOND, FIRST),
                violationCase(
                        "missing token", Rule.TOKENS_ONCE, GUIDE, RUN_WITHOUT_TEXT, FIRST, token("r1", "g1", 2, "c")),
                violationCase(
                        "tokens of two generations",
                        Rule.TOKENS_ONCE,
                        GUIDE,
                        RUN_WITHOUT_TEXT,
                        FIRST,
                        token("r1", "g2", 1, "b")),
                violationCase(
                        "fewer tokens than the stream reported",
                        Rule.ANSWERS_MATCH,
                        GUIDE,
                        GUIDE_RUN,
                        FIRST,
                        GUIDE_DONE),
                violationCase(
                        "stream shorter than its generation",
                        Rule.ANSWERS_MATCH,
                        GUIDE,
                        GUIDE_RUN,
                        FIRST,
                        end("r1", Outcome.DONE, 1, null)),
                violationCase(
                        "text differs from generation",
                        Rule.ANSWERS_MATCH,
                        GUIDE,
                        GUIDE_RUN,
                        token("r1", "g1", 0, "z")),
                violationCase("generation that no target ran", Rule.ANSWERS_MATCH, GUIDE, FIRST),
                violationCase(
                        "stream of other work",
                        Rule.ANSWERS_MATCH,
                        GUIDE,
                        new Run(2, "t1", "g1", "w9", true, 2, "ab"),
                        FIRST),
                violationCase(
                        "response to other work",
                        Rule.ANSWERS_MATCH,
                        BOOKING,
                        BOOKING_RUN,
                        end("r2", Outcome.DONE, -1, "ok w9")),
                violationCase("response without a run", Rule.ANSWERS_MATCH, BOOKING, BOOKING_DONE),
                violationCase("two responses", Rule.ANSWERS_MATCH, BOOKING, BOOKING_RUN, BOOKING_DONE, BOOKING_DONE));
    }

    static Stream<Arguments> plantedRuns() {
        return Stream.of(
                violationCase(
                        "work answered with not-run ran",
                        Rule.NOT_RUN_HELD,
                        GUIDE,
                        GUIDE_RUN,
                        end("r1", Outcome.NOT_RUN, -1, null)),
                violationCase(
                        "copy with the same key answered with not-run after a run",
                        Rule.NOT_RUN_HELD,
                        BOOKING,
                        BOOKING_RUN,
                        BOOKING_DONE,
                        new Sent(20, "r3", "w2", "order-booking", false, false, "k2", "e2"),
                        end("r3", Outcome.NOT_RUN, -1, null)),
                violationCase(
                        "run before any copy", Rule.NOT_RUN_HELD, GUIDE, new Run(0, "t1", "g0", "w1", true, 2, "ab")),
                violationCase(
                        "order booked twice",
                        Rule.AT_MOST_ONCE,
                        BOOKING,
                        BOOKING_RUN,
                        new Run(5, "s2", "c3", "w2", true, 0, "ok w2")),
                violationCase(
                        "new work on a leaving target",
                        Rule.LEAVING_RESTS,
                        new Leaving(1, "t1"),
                        GUIDE,
                        new Run(2_002, "t1", "g1", "w1", true, 2, "ab")),
                violationCase(
                        "version decreased across a restart",
                        Rule.CONFIG_MONOTONIC,
                        new VersionReported(1, "e1", 5, "aa"),
                        new VersionReported(2, "e1", 4, "bb")),
                violationCase(
                        "digest of the same version decreased",
                        Rule.CONFIG_MONOTONIC,
                        new VersionReported(1, "e1", 5, "bb"),
                        new VersionReported(2, "e1", 5, "aa")),
                violationCase(
                        "stream cut off by a stop",
                        Rule.STOP_IS_GRACEFUL,
                        GUIDE,
                        GUIDE_RUN,
                        new Stop(5, "e1"),
                        end("r1", null, -1, null)),
                violationCase("request left open by a stop", Rule.STOP_IS_GRACEFUL, GUIDE, new Stop(5, "e1")));
    }

    private static Arguments violationCase(String name, Rule rule, HistoryRecord... records) {
        return Arguments.of(name, rule, history(records));
    }

    /** Guards against a rule that misses the violation that it is meant to report. */
    @ParameterizedTest(name = "{0}")
    @MethodSource({"plantedAnswers", "plantedRuns"})
    void reportsPlantedViolation(String name, Rule rule, History history) {
        HistoryReport report = new HistoryChecker().check(history);
        assertThat(report.violationCount(rule)).as(name).isPositive();
        assertThat(report.violations()).allMatch(violation -> violation.rule() == rule);
    }

    private static History validHistory() {
        List<HistoryRecord> records = new ArrayList<>(
                List.of(GUIDE, GUIDE_RUN, FIRST, SECOND, GUIDE_DONE, BOOKING, BOOKING_RUN, BOOKING_DONE));
        records.add(new Sent(1, "r3", "w3", "guide", true, false, null, "e2"));
        records.add(end("r3", Outcome.NOT_RUN, -1, null));
        records.add(new Sent(1, "r4", "w4", "order-booking", false, false, "k4", "e2"));
        records.add(end("r4", Outcome.UNKNOWN, -1, null));
        records.add(new Leaving(1, "t1"));
        records.add(new Stop(5, "e1"));
        records.add(new VersionReported(1, "e1", 4, "bb"));
        records.add(new VersionReported(2, "e1", 5, "aa"));
        return history(records.toArray(HistoryRecord[]::new));
    }

    /** Guards against rules that report valid work, and against wrong shares of the non-repeatable work. */
    @Test
    void acceptsValidHistoryAndCountsOutcomes() {
        HistoryReport report = new HistoryChecker().check(validHistory());
        assertThat(report.violations()).isEmpty();
        assertThat(report.counts()).isEqualTo(new HistoryReport.Counts(4, 2, 1, 1, 0, 0, 2, 1, 1));
        assertThat(report.counts().summary()).contains("ran-share=0.500 unknown-share=0.500");
    }

    /** Guards against attributing a request that failed because of a fault to a planned stop. */
    @Test
    void ignoresRequestOpenAtAFault() {
        HistoryReport report = new HistoryChecker()
                .check(history(GUIDE, new Stop(5, "e1"), new Fault(6, "kill", "t1"), end("r1", null, -1, null)));
        assertThat(report.violations()).isEmpty();
    }

    /** Guards against records that are lost or changed when written to a file and read back. */
    @Test
    void readsWhatItWrote(@TempDir Path directory) {
        History history = validHistory();
        history.add(new Fault(6, "kill", "t1"));
        history.write(directory.resolve("history.jsonl"));
        assertThat(History.read(directory.resolve("history.jsonl")).records()).isEqualTo(history.records());
    }
}
