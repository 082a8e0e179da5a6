package org.verbenatally.load;

import java.util.LinkedHashSet;
import java.util.Set;

import org.HdrHistogram.Histogram;
import org.verbenatally.config.Kind;

/**
 * Metrics of a {@link PolicyTrial}. First tokens, rejections and urgent requests are counted for requests that arrive
 * in the measured time; token gaps and completions are counted if they occur in it.
 */
final class TrialMetrics {
    private static final long FIRST_TOKEN_NANOS = 480_000_000;
    private static final long TOKEN_GAP_NANOS = 54_000_000;
    private static final long MAX_LATENCY_MS = 3_600_000;

    /** A request of a caller, with the state that its metrics need. */
    static final class Request {
        final Kind kind;
        final int organisationIndex;
        final long arrivedNanos;
        final boolean counted;
        long lastNanos;
        int tokens;
        int lateGaps;
        boolean firstTokenWithinLevel;

        Request(Kind kind, int organisationIndex, long now, boolean counted) {
            this.kind = kind;
            this.organisationIndex = organisationIndex;
            this.arrivedNanos = now;
            this.lastNanos = now;
            this.counted = counted;
        }

        boolean isUrgent() {
            return kind.urgency() == Kind.Urgency.URGENT;
        }
    }

    private final VirtualTime time;
    private final long startNanos;
    private final long endNanos;
    private final Set<Request> openRequests = new LinkedHashSet<>();
    private final Histogram tokenGaps = new Histogram(MAX_LATENCY_MS * 1000, 3);
    private final Histogram urgentFirstToken = new Histogram(MAX_LATENCY_MS, 3);
    private final Histogram patientFirstToken = new Histogram(MAX_LATENCY_MS, 3);
    private final Histogram smallFirstToken = new Histogram(MAX_LATENCY_MS, 3);
    private double stallSeconds;
    private double firstTokenStallSeconds;
    private long doneTokens;
    private long done;
    private long rejected;
    private long rejectedUrgent;
    private long urgentCount;
    private long urgentMet;
    private long preemptions;

    TrialMetrics(VirtualTime time, long startNanos, long endNanos) {
        this.time = time;
        this.startNanos = startNanos;
        this.endNanos = endNanos;
    }

    long endNanos() {
        return endNanos;
    }

    Request onArrival(Kind kind, int organisationIndex) {
        Request request = new Request(kind, organisationIndex, time.nanos(), time.nanos() >= startNanos);
        openRequests.add(request);
        return request;
    }

    void onRejected(Request request) {
        openRequests.remove(request);
        if (request.counted) {
            rejected++;
            if (request.isUrgent()) {
                rejectedUrgent++;
                urgentCount++;
            }
        }
    }

    void onToken(Request request) {
        long gap = time.nanos() - request.lastNanos;
        request.lastNanos = time.nanos();
        request.tokens++;
        if (request.kind.delivery() == Kind.Delivery.WHOLE) {
            return;
        }
        if (request.tokens == 1) {
            onFirstToken(request, gap);
        } else if (time.nanos() >= startNanos) {
            tokenGaps.recordValue(Math.min(MAX_LATENCY_MS * 1000, gap / 1000));
            stallSeconds += Math.max(0, gap - TOKEN_GAP_NANOS) / 1e9;
            request.lateGaps += gap > TOKEN_GAP_NANOS ? 1 : 0;
        }
    }

    private void onFirstToken(Request request, long gap) {
        request.firstTokenWithinLevel = gap <= FIRST_TOKEN_NANOS;
        if (!request.counted) {
            return;
        }
        double late = Math.max(0, gap - FIRST_TOKEN_NANOS) / 1e9;
        stallSeconds += late;
        firstTokenStallSeconds += late;
        (request.isUrgent() ? urgentFirstToken : patientFirstToken).recordValue(gap / 1_000_000);
        if (request.organisationIndex > 1) {
            smallFirstToken.recordValue(gap / 1_000_000);
        }
    }

    void onDone(Request request, int tokens) {
        openRequests.remove(request);
        if (time.nanos() >= startNanos) {
            done++;
            doneTokens += tokens;
        }
        if (request.counted && request.isUrgent()) {
            urgentCount++;
            urgentMet += request.firstTokenWithinLevel && request.lateGaps <= 0.05 * tokens ? 1 : 0;
        }
    }

    /** Ends the measurement: sets the number of preemptions and adds the stall time of requests that are still open. */
    void finish(long totalPreemptions) {
        preemptions = totalPreemptions;
        for (Request request : openRequests) {
            long late = time.nanos() - request.lastNanos - (request.tokens == 0 ? FIRST_TOKEN_NANOS : TOKEN_GAP_NANOS);
            if (request.counted && late > 0 && request.kind.delivery() == Kind.Delivery.STREAM) {
                stallSeconds += late / 1e9;
                firstTokenStallSeconds += request.tokens == 0 ? late / 1e9 : 0;
            }
        }
    }

    double stallSeconds() {
        return stallSeconds;
    }

    double firstTokenStallSeconds() {
        return firstTokenStallSeconds;
    }

    long preemptions() {
        return preemptions;
    }

    double tokenGapMs(double percentile) {
        return tokenGaps.getValueAtPercentile(percentile) / 1000.0;
    }

    double goodput() {
        return doneTokens / ((endNanos - startNanos) / 1e9);
    }

    long done() {
        return done;
    }

    long rejected() {
        return rejected;
    }

    long rejectedUrgent() {
        return rejectedUrgent;
    }

    double urgentMet() {
        return urgentCount == 0 ? 1 : urgentMet / (double) urgentCount;
    }

    double urgentFirstTokenMs(double percentile) {
        return urgentFirstToken.getValueAtPercentile(percentile);
    }

    double patientFirstTokenMs(double percentile) {
        return patientFirstToken.getValueAtPercentile(percentile);
    }

    double smallFirstTokenMs(double percentile) {
        return smallFirstToken.getValueAtPercentile(percentile);
    }
}
