package org.verbenatally.policy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.verbenatally.config.Kind;
import org.verbenatally.config.Target;
import org.verbenatally.core.Incarnation;
import org.verbenatally.core.ModelName;
import org.verbenatally.policy.TargetSnapshot.Estimate;
import org.verbenatally.policy.TargetSnapshot.LoadReport;
import org.verbenatally.policy.TargetSnapshot.SlotQuota;

/** What this entry knows about one target. Safe for use by several threads. */
final class TargetState {
    /**
     * Age, in nanoseconds, from which a report is no longer used; the load is then estimated from what this entry and
     * its peers have in flight.
     */
    private static final long MAX_REPORT_AGE_NANOS = TimeUnit.SECONDS.toNanos(10);
    /**
     * Share of the reported requests above which the requests known from this entry and its peers would suffice without
     * the report: gossip then covers nearly all entries and is fresher than a report. Currently unused.
     */
    private static final double SUFFICIENT_KNOWN_SHARE = 0.75;
    /** Time, in nanoseconds, for which a forecast is reused. Within it, each request grows by only a few tokens. */
    private static final long FORECAST_LIFETIME_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    /**
     * Length of a quota interval, in nanoseconds: one gossip period, after which peers have received the requests sent
     * from here.
     */
    private static final long QUOTA_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /**
     * Time, in nanoseconds, for which a target gets no new work after it refused some: long enough for a slot to become
     * free.
     */
    private static final long REFUSAL_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /** Initial and longest time, in nanoseconds, for which an unreachable target gets no new work. */
    private static final long INITIAL_UNREACHABLE_BACKOFF_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final long MAX_UNREACHABLE_BACKOFF_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final Set<DispatchedRequest> inFlight = new LinkedHashSet<>();
    private final LoadTrace loadTrace = new LoadTrace();
    private KvForecast forecast = new KvForecast();
    private final ConcurrencyLimit concurrencyLimit;

    private volatile Target target;
    private volatile ReceivedReport lastReport;
    /** Whether the target itself reported that it is leaving, in a load report or a refusal. */
    private volatile boolean leavingReported;
    /** Whether the platform's published list or a peer reports the target as leaving. */
    private volatile boolean leavingReportedByOthers;

    private volatile long backoffUntilNanos;
    private volatile boolean inBackoff;
    private int unreachableCount;
    private Optional<Incarnation> leavingIncarnation = Optional.empty();
    private int ownRequests;
    private long ownTokens;
    private long sentCount;
    private int peerRequests;
    private long peerTokens;
    private long forecastComputedNanos;
    private boolean forecastValid;
    private double expectedOwnGrowth;
    private long quotaInterval = Long.MIN_VALUE;
    private int slotsTaken;
    private double quotaSample;

    /** A report with its creation time on this entry's clock and with the load that was in flight then. */
    private record ReceivedReport(
            ReportedLoad load, long createdNanos, LoadTrace.Sample loadAtCreation, long sentAtCreation) {}

    TargetState(Target target, long gapTargetNanos) {
        this.target = target;
        this.concurrencyLimit = new ConcurrencyLimit(target.maxConcurrent(), gapTargetNanos);
    }

    Target target() {
        return target;
    }

    void updateTarget(Target updated) {
        target = updated;
    }

    /** Returns whether the target may get new work of a kind: it is not leaving and has the model loaded. */
    boolean isEligibleFor(Kind kind) {
        Target current = target;
        if (isLeaving() || current.leaving() || current.type() != kind.runsOn()) {
            return false;
        }
        return kind.model().isEmpty() || hasModel(kind.model().get(), current);
    }

    private boolean hasModel(ModelName model, Target current) {
        ReceivedReport last = lastReport;
        if (last != null && !last.load().models().isEmpty()) {
            return last.load().models().contains(model);
        }
        return current.models().stream().anyMatch(m -> m.model().equals(model));
    }

    synchronized int ownRequests() {
        return ownRequests;
    }

    synchronized long ownTokens() {
        return ownTokens;
    }

    /**
     * Returns the requests in flight from this entry and its peers, without using load reports. Cheap enough to call
     * for every target.
     */
    synchronized int knownRequests() {
        return ownRequests + peerRequests;
    }

    boolean isLeaving() {
        return leavingReported || leavingReportedByOthers;
    }

    /** Returns whether the target itself reported that it is leaving. */
    boolean hasReportedLeaving() {
        return leavingReported;
    }

    void setLeavingReportedByOthers(boolean reported) {
        leavingReportedByOthers = reported;
    }

    synchronized void markLeaving() {
        if (!leavingReported) {
            leavingIncarnation =
                    Optional.ofNullable(lastReport).map(r -> r.load().incarnation());
            leavingReported = true;
        }
    }

    /** Records a checked report that was created at the given time of this entry's clock. */
    synchronized void recordReport(ReportedLoad load, long createdNanos) {
        ReceivedReport last = lastReport;
        boolean sameIncarnation = last != null && last.load().incarnation().equals(load.incarnation());
        if (sameIncarnation && load.atMs() <= last.load().atMs()) {
            return;
        }
        lastReport = new ReceivedReport(load, createdNanos, loadTrace.at(createdNanos), sentUntil(createdNanos));
        if (unreachableCount > 0) {
            unreachableCount = 0;
            inBackoff = false;
        }
        forecastValid = false;
        if (sameIncarnation) {
            concurrencyLimit.recordPreemptions(load.preemptions() - last.load().preemptions());
        }
        concurrencyLimit.recordReport(load);
        if (load.leaving()) {
            markLeaving();
        } else if (leavingReported && !leavingIncarnation.equals(Optional.of(load.incarnation()))) {
            leavingReported = false;
        }
    }

    private long sentUntil(long nanos) {
        long later = inFlight.stream().filter(d -> d.startNanos() - nanos > 0).count();
        return sentCount - later;
    }

    synchronized void adjustPeerLoad(long now, int requestsChange, long tokensChange) {
        record(now);
        peerRequests = Math.max(0, peerRequests + requestsChange);
        peerTokens = Math.max(0, peerTokens + tokensChange);
        forecastValid = false;
    }

    synchronized void add(DispatchedRequest dispatched, long now) {
        record(now);
        inFlight.add(dispatched);
        ownRequests++;
        ownTokens += dispatched.heldTokens();
        sentCount++;
        slotsTaken++;
        forecast.add(dispatched.heldTokens(), dispatched.expectedRemaining(), 1);
    }

    /**
     * Removes a request that is no longer in flight. If it is the first to report a crash of the target, returns all
     * requests that were in flight there, this one included; otherwise returns an empty list.
     */
    synchronized List<DispatchedRequest> remove(DispatchedRequest dispatched, AttemptEnd end, long now) {
        record(now);
        ownRequests--;
        ownTokens -= dispatched.heldTokens();
        forecast.add(dispatched.heldTokens(), dispatched.expectedRemaining(), -1);
        boolean removed = inFlight.remove(dispatched);
        if (end != AttemptEnd.CRASHED || !removed) {
            return List.of();
        }
        List<DispatchedRequest> affected = new ArrayList<>(inFlight);
        affected.add(dispatched);
        // The other requests report the same crash one by one, but it must be counted only once.
        inFlight.clear();
        return affected;
    }

    /**
     * Counts a token of a request of this entry; {@code gapNanos} is the time since its previous token in nanoseconds,
     * 0 for the first token.
     */
    void recordToken(long now, long gapNanos) {
        double requests;
        synchronized (this) {
            ownTokens++;
            record(now);
            requests = estimatedRequests(now);
        }
        if (gapNanos > 0) {
            concurrencyLimit.recordGap(gapNanos, now, requests);
        }
    }

    private void record(long now) {
        loadTrace.add(now, new LoadTrace.Sample(ownRequests, ownTokens, peerRequests, peerTokens));
    }

    private ReceivedReport freshReport(long now) {
        ReceivedReport last = lastReport;
        return last != null && now - last.createdNanos() < MAX_REPORT_AGE_NANOS ? last : null;
    }

    private double estimatedRequests(long now) {
        ReceivedReport last = freshReport(now);
        if (last == null) {
            return ownRequests + peerRequests;
        }
        int reported = last.load().running() + last.load().waiting();
        int change = ownRequests
                - last.loadAtCreation().ownRequests()
                + peerRequests
                - last.loadAtCreation().peerRequests();
        return Math.max(ownRequests, reported + change);
    }

    private double estimatedTokens(long now, double meanPrompt) {
        ReceivedReport last = freshReport(now);
        if (last == null || last.load().kvCapacityTokens() == 0) {
            return ownTokens + peerTokens;
        }
        // Requests that wait at the target hold no memory yet, and the change since the report does not add their
        // prompts.
        double waiting = last.load().waiting() * meanPrompt;
        long change = ownTokens
                - last.loadAtCreation().ownTokens()
                + peerTokens
                - last.loadAtCreation().peerTokens();
        return Math.max(ownTokens, last.load().kvUsedTokens() + waiting + change);
    }

    /**
     * Returns a snapshot of the target for a routing decision.
     *
     * @param now the monotonic time, in nanoseconds
     * @param summary summary of all requests that this entry has in flight
     * @param prefixTokens tokens of the prompt that the target is believed to have cached
     * @param adaptive whether the learned concurrency limit applies instead of the configured one
     */
    synchronized TargetSnapshot snapshot(long now, InFlightSummary summary, int prefixTokens, boolean adaptive) {
        ReceivedReport last = freshReport(now);
        double requests = estimatedRequests(now);
        double tokens = estimatedTokens(now, summary.meanPrompt());
        if (!forecastValid || now - forecastComputedNanos > FORECAST_LIFETIME_NANOS) {
            computeForecast(now, summary, requests, tokens);
        }
        LoadReport report = last == null ? null : loadReport(last, now);
        long capacity = last == null ? 0 : last.load().kvCapacityTokens();
        Estimate estimate = new Estimate(requests, tokens, forecast, capacity, concurrencyLimit.margin());
        int max = target.maxConcurrent();
        return new TargetSnapshot(
                target.id(),
                target.failureDomain(),
                ownRequests,
                ownTokens,
                expectedOwnGrowth,
                peerRequests,
                peerTokens,
                Optional.ofNullable(report),
                last == null ? 0 : (int) (sentCount - last.sentAtCreation()),
                estimate,
                adaptive ? concurrencyLimit.limit() : max,
                max,
                prefixTokens,
                slotQuota(now, summary));
    }

    private static LoadReport loadReport(ReceivedReport last, long now) {
        ReportedLoad load = last.load();
        long age = TimeUnit.NANOSECONDS.toMillis(now - last.createdNanos());
        return new LoadReport(
                age, load.running(), load.waiting(), load.kvUsedTokens(), load.kvCapacityTokens(), load.preemptions());
    }

    private void computeForecast(long now, InFlightSummary summary, double requests, double tokens) {
        KvForecast computed = new KvForecast();
        expectedOwnGrowth = 0;
        for (DispatchedRequest dispatched : inFlight) {
            double remaining = dispatched.expectedRemaining();
            expectedOwnGrowth += remaining;
            computed.add(dispatched.heldTokens(), remaining, 1);
        }
        double otherRequests = requests - inFlight.size();
        if (otherRequests > 0) {
            double heldTokens = Math.max(0, tokens - ownTokens) / otherRequests;
            double[] remaining = summary.remainingQuantiles();
            Arrays.stream(remaining).forEach(r -> computed.add(heldTokens, r, otherRequests / remaining.length));
        }
        forecast = computed;
        forecastComputedNanos = now;
        forecastValid = true;
    }

    private SlotQuota slotQuota(long now, InFlightSummary summary) {
        long interval = now / QUOTA_INTERVAL_NANOS;
        if (interval != quotaInterval) {
            quotaInterval = interval;
            slotsTaken = 0;
            quotaSample = summary.randomSample();
        }
        return new SlotQuota(summary.entries(), slotsTaken, quotaSample);
    }

    /** Starts a short backoff after the target refused work. */
    void onRefused(long now) {
        startBackoff(now + REFUSAL_BACKOFF_NANOS);
    }

    /**
     * Starts a backoff after the target could not be reached, longer each time until the target reports again. Without
     * it, the target would attract all requests because it has no load.
     */
    synchronized void onUnreachable(long now) {
        unreachableCount++;
        startBackoff(now
                + Math.min(
                        MAX_UNREACHABLE_BACKOFF_NANOS,
                        INITIAL_UNREACHABLE_BACKOFF_NANOS << Math.min(10, unreachableCount - 1)));
    }

    private void startBackoff(long untilNanos) {
        backoffUntilNanos = untilNanos;
        inBackoff = true;
    }

    /** Returns whether the target refused work recently or cannot be reached. */
    boolean isInBackoff(long now) {
        return inBackoff && now - backoffUntilNanos < 0;
    }

    /** Returns the requests that this entry has in flight at the target. */
    synchronized List<DispatchedRequest> inFlight() {
        return List.copyOf(inFlight);
    }

    synchronized int peerRequests() {
        return peerRequests;
    }
}
