package org.verbenatally.load;

import java.util.Arrays;
import java.util.Locale;

/**
 * Result of one request; a row of {@code requests.csv}.
 *
 * @param work id of the work
 * @param kind kind of work
 * @param organisation id of the organisation
 * @param stream whether the response is streamed token by token
 * @param intendedNanos due time, in nanoseconds after the start of the run
 * @param sendNanos time of the first send, in nanoseconds after the start of the run
 * @param endNanos time at which the outcome was known, in nanoseconds of the monotonic clock
 * @param firstNanos time of the first token, in nanoseconds after the start of the run; -1 if there was none
 * @param tokens number of tokens received
 * @param outcome {@code done}, {@code not-run}, {@code unknown}, or {@code unfinished} if the run ended first
 * @param status last HTTP status; 0 if no response arrived
 * @param type type of the last problem document, or {@code null}
 * @param copies number of copies sent
 * @param resumes number of times that the stream was resumed
 * @param violations number of contract violations
 * @param stallNanos sum of the times by which the first token and the gaps exceeded their levels, in nanoseconds
 * @param longestGapNanos longest time between two tokens, in nanoseconds
 * @param withinLevels whether the first token arrived within 480 ms and 95 of 100 gaps were within 54 ms
 */
record RequestRow(
        String work,
        String kind,
        String organisation,
        boolean stream,
        long intendedNanos,
        long sendNanos,
        long endNanos,
        long firstNanos,
        int tokens,
        String outcome,
        int status,
        String type,
        int copies,
        int resumes,
        int violations,
        long stallNanos,
        long longestGapNanos,
        boolean withinLevels) {

    static final String UNFINISHED = "unfinished";
    static final String HEADER = "work,kind,organisation,stream,intended_ms,send_ms,first_ms,end_ms,tokens,outcome,"
            + "status,type,copies,resumes,violations,stall_ms,longest_gap_ms,within_levels";

    private static final double MIN_SHARE_WITHIN_LEVEL = 0.95;

    static RequestRow of(Arrival arrival, CallRecord record, long startNanos, boolean finished) {
        long intended = startNanos + arrival.atNanos();
        long[] times = record.tokenNanos();
        boolean stream = record.request().stream();
        long stall = 0;
        long longest = 0;
        int gapsWithinLevel = 0;
        for (int i = 1; stream && i < times.length; i++) {
            long gap = times[i] - times[i - 1];
            stall += Math.max(0, gap - Measurements.TOKEN_GAP_NANOS);
            longest = Math.max(longest, gap);
            gapsWithinLevel += gap <= Measurements.TOKEN_GAP_NANOS ? 1 : 0;
        }
        long first = stream && times.length > 0 ? times[0] - intended : -1;
        stall += Math.max(0, first - Measurements.FIRST_TOKEN_NANOS);
        boolean meetsLevels = first >= 0
                && first <= Measurements.FIRST_TOKEN_NANOS
                && gapsWithinLevel >= MIN_SHARE_WITHIN_LEVEL * Math.max(0, times.length - 1);
        int resumes =
                (int) record.sends().stream().filter(CallRecord.Send::resume).count();
        return new RequestRow(
                record.request().work(),
                record.request().kind(),
                record.request().organisation(),
                stream,
                arrival.atNanos(),
                record.startNanos() - startNanos,
                record.endNanos(),
                first < 0 ? -1 : first + arrival.atNanos(),
                record.tokens(),
                finished ? record.outcome().text() : UNFINISHED,
                record.status(),
                record.problemType(),
                record.sends().size() - resumes,
                resumes,
                record.violations().size(),
                stall,
                longest,
                meetsLevels);
    }

    String csv(long startNanos) {
        Object[] fields = {
            work,
            kind,
            organisation,
            stream,
            ms(intendedNanos),
            ms(sendNanos),
            firstNanos < 0 ? "" : ms(firstNanos),
            ms(endNanos - startNanos),
            tokens,
            outcome,
            status,
            type == null ? "" : type,
            copies,
            resumes,
            violations,
            ms(stallNanos),
            ms(longestGapNanos),
            withinLevels
        };
        return String.join(",", Arrays.stream(fields).map(String::valueOf).toList());
    }

    private static String ms(long nanos) {
        return String.format(Locale.ROOT, "%.3f", nanos / 1e6);
    }
}
