package org.verbenatally.load;

import java.util.Arrays;
import java.util.Locale;

/**
 * What a run keeps of one request.
 *
 * @param work id of the work
 * @param kind kind of work
 * @param organisation organisation
 * @param stream whether the answer comes token by token
 * @param intendedNanos due time after the start of the run
 * @param sendNanos time of the first send after the start of the run
 * @param endNanos monotonic time at which the outcome was known
 * @param firstNanos time of the first token after the start of the run; -1: none
 * @param tokens tokens that arrived
 * @param outcome {@code done}, {@code not-run}, {@code unknown}, or {@code unfinished} if the run ended first
 * @param status last HTTP status
 * @param type last problem type, or {@code null}
 * @param copies copies sent
 * @param resumes resumes of the stream
 * @param violations breaches of the contract
 * @param stallNanos stall time
 * @param longestGapNanos longest time between two tokens
 * @param withinLevels whether the first token was within 480 ms and 95 in 100 gaps within 54 ms
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

    private static final double LEVEL = 0.95;

    static RequestRow of(Arrival arrival, CallRecord record, long startNanos, boolean finished) {
        long intended = startNanos + arrival.atNanos();
        long[] times = record.tokenNanos();
        boolean stream = record.request().stream();
        long stall = 0;
        long longest = 0;
        int within = 0;
        for (int i = 1; stream && i < times.length; i++) {
            long gap = times[i] - times[i - 1];
            stall += Math.max(0, gap - Measurements.GAP_NANOS);
            longest = Math.max(longest, gap);
            within += gap <= Measurements.GAP_NANOS ? 1 : 0;
        }
        long first = stream && times.length > 0 ? times[0] - intended : -1;
        stall += Math.max(0, first - Measurements.FIRST_TOKEN_NANOS);
        boolean levels = first >= 0
                && first <= Measurements.FIRST_TOKEN_NANOS
                && within >= LEVEL * Math.max(0, times.length - 1);
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
                record.type(),
                record.sends().size() - resumes,
                resumes,
                record.violations().size(),
                stall,
                longest,
                levels);
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
