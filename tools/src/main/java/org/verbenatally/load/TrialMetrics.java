package org.verbenatally.load;

import java.util.LinkedHashSet;
import java.util.Set;

import org.HdrHistogram.Histogram;
import org.verbenatally.config.Kind;

/** What a {@link PolicyTrial} measures, over the requests that arrive in the measured time. */
final class TrialMetrics {
    private static final long FIRST_TOKEN_NANOS = 480_000_000;
    private static final long GAP_NANOS = 54_000_000;
    private static final long LONGEST_MS = 3_600_000;

    /** One request of a caller. */
    static final class Call {
        final Kind kind;
        final int organisation;
        final long arrivedNanos;
        final boolean counts;
        long lastNanos;
        int tokens;
        int lateGaps;
        boolean firstOnTime;

        Call(Kind kind, int organisation, long now, boolean counts) {
            this.kind = kind;
            this.organisation = organisation;
            this.arrivedNanos = now;
            this.lastNanos = now;
            this.counts = counts;
        }

        boolean isUrgent() {
            return kind.urgency() == Kind.Urgency.URGENT;
        }
    }

    private final VirtualTime time;
    private final long start;
    private final long end;
    private final Set<Call> open = new LinkedHashSet<>();
    private final Histogram gaps = new Histogram(LONGEST_MS * 1000, 3);
    private final Histogram urgentFirst = new Histogram(LONGEST_MS, 3);
    private final Histogram patientFirst = new Histogram(LONGEST_MS, 3);
    private final Histogram smallFirst = new Histogram(LONGEST_MS, 3);
    private double stallSeconds;
    private double stallFirstSeconds;
    private long doneTokens;
    private long done;
    private long refused;
    private long refusedUrgent;
    private long urgent;
    private long urgentMet;
    private long preemptions;

    TrialMetrics(VirtualTime time, long start, long end) {
        this.time = time;
        this.start = start;
        this.end = end;
    }

    long end() {
        return end;
    }

    Call arrived(Kind kind, int organisation) {
        Call call = new Call(kind, organisation, time.nanos(), time.nanos() >= start);
        open.add(call);
        return call;
    }

    void refused(Call call) {
        open.remove(call);
        if (call.counts) {
            refused++;
            if (call.isUrgent()) {
                refusedUrgent++;
                urgent++;
            }
        }
    }

    void token(Call call) {
        long gap = time.nanos() - call.lastNanos;
        call.lastNanos = time.nanos();
        call.tokens++;
        if (call.kind.delivery() == Kind.Delivery.WHOLE) {
            return;
        }
        if (call.tokens == 1) {
            first(call, gap);
        } else if (time.nanos() >= start) {
            gaps.recordValue(Math.min(LONGEST_MS * 1000, gap / 1000));
            stallSeconds += Math.max(0, gap - GAP_NANOS) / 1e9;
            call.lateGaps += gap > GAP_NANOS ? 1 : 0;
        }
    }

    private void first(Call call, long gap) {
        call.firstOnTime = gap <= FIRST_TOKEN_NANOS;
        if (!call.counts) {
            return;
        }
        double late = Math.max(0, gap - FIRST_TOKEN_NANOS) / 1e9;
        stallSeconds += late;
        stallFirstSeconds += late;
        (call.isUrgent() ? urgentFirst : patientFirst).recordValue(gap / 1_000_000);
        if (call.organisation > 1) {
            smallFirst.recordValue(gap / 1_000_000);
        }
    }

    void done(Call call, int tokens) {
        open.remove(call);
        if (time.nanos() >= start) {
            done++;
            doneTokens += tokens;
        }
        if (call.counts && call.isUrgent()) {
            urgent++;
            urgentMet += call.firstOnTime && call.lateGaps <= 0.05 * tokens ? 1 : 0;
        }
    }

    void preemptions(long total) {
        preemptions = total;
        for (Call call : open) {
            long late = time.nanos() - call.lastNanos - (call.tokens == 0 ? FIRST_TOKEN_NANOS : GAP_NANOS);
            if (call.counts && late > 0 && call.kind.delivery() == Kind.Delivery.STREAM) {
                stallSeconds += late / 1e9;
                stallFirstSeconds += call.tokens == 0 ? late / 1e9 : 0;
            }
        }
    }

    double stallSeconds() {
        return stallSeconds;
    }

    double stallFirstSeconds() {
        return stallFirstSeconds;
    }

    long preemptions() {
        return preemptions;
    }

    double gapMs(double percentile) {
        return gaps.getValueAtPercentile(percentile) / 1000.0;
    }

    double goodput() {
        return doneTokens / ((end - start) / 1e9);
    }

    long done() {
        return done;
    }

    long refused() {
        return refused;
    }

    long refusedUrgent() {
        return refusedUrgent;
    }

    double urgentMet() {
        return urgent == 0 ? 1 : urgentMet / (double) urgent;
    }

    double urgentFirstMs(double percentile) {
        return urgentFirst.getValueAtPercentile(percentile);
    }

    double patientFirstMs(double percentile) {
        return patientFirst.getValueAtPercentile(percentile);
    }

    double smallFirstMs(double percentile) {
        return smallFirst.getValueAtPercentile(percentile);
    }
}
