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
import org.verbenatally.policy.TargetSnapshot.Claim;
import org.verbenatally.policy.TargetSnapshot.Estimate;
import org.verbenatally.policy.TargetSnapshot.LoadReport;

/** What this entry knows of one target. Safe for use by several threads. */
final class TargetState {
    /** Age from which a report is no longer used; the target is then judged by what this entry and peers sent. */
    private static final long STALE_NANOS = TimeUnit.SECONDS.toNanos(10);
    /**
     * Share of the reported requests from which own and peers' requests are taken alone. Gossip then covers nearly all
     * entries and is fresher than a report.
     */
    private static final double WELL_KNOWN = 0.75;
    /** Time for which a forecast is reused. Growth within it is a few tokens a request. */
    private static final long FORECAST_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    /** Time after which peers have heard of a request sent here: one gossip period. */
    private static final long CLAIM_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Time for which a target that refused work gets none: long enough for a place to become free. */
    private static final long REFUSED_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /** First and longest time for which a target that cannot be reached gets no work. */
    private static final long FIRST_AWAY_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final long LONGEST_AWAY_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final Set<RunningFlight> flights = new LinkedHashSet<>();
    private final LoadTrace trace = new LoadTrace();
    private KvForecast forecast = new KvForecast();
    private final ConcurrencyLimit limit;

    private volatile Target target;
    private volatile Received received;
    /** The target itself said that it is leaving, in a report or a refusal. */
    private volatile boolean leaving;
    /** The platform's list or a peer says that it is leaving. */
    private volatile boolean leavingElsewhere;

    private volatile long avoidUntilNanos;
    private volatile boolean avoided;
    private int unreachable;
    private Optional<Incarnation> leavingRun = Optional.empty();
    private int ownRequests;
    private long ownTokens;
    private long sent;
    private int peerRequests;
    private long peerTokens;
    private long forecastNanos;
    private boolean forecastValid;
    private double growth;
    private long claimInterval = Long.MIN_VALUE;
    private int claimed;
    private double claimDraw;

    /** A report with the time it was made on this entry's clock and what was in flight then. */
    private record Received(ReportedLoad load, long madeNanos, LoadTrace.Point then, long sentThen) {}

    TargetState(Target target, long gapTargetNanos) {
        this.target = target;
        this.limit = new ConcurrencyLimit(target.maxConcurrent(), gapTargetNanos);
    }

    Target target() {
        return target;
    }

    void target(Target changed) {
        target = changed;
    }

    /** Tells whether the target may get new work of a kind: it is not leaving and has the model loaded. */
    boolean mayRun(Kind kind) {
        Target present = target;
        if (leaving() || present.leaving() || present.type() != kind.runsOn()) {
            return false;
        }
        return kind.model().isEmpty() || hasModel(kind.model().get(), present);
    }

    private boolean hasModel(ModelName model, Target present) {
        Received last = received;
        if (last != null && !last.load().models().isEmpty()) {
            return last.load().models().contains(model);
        }
        return present.models().stream().anyMatch(m -> m.model().equals(model));
    }

    synchronized int ownRequests() {
        return ownRequests;
    }

    synchronized long ownTokens() {
        return ownTokens;
    }

    /** Returns the requests known from own flights and peers, without a look at reports. Cheap enough for a scan. */
    synchronized int knownRequests() {
        return ownRequests + peerRequests;
    }

    boolean leaving() {
        return leaving || leavingElsewhere;
    }

    /** Tells whether the target itself said so. */
    boolean saidLeaving() {
        return leaving;
    }

    void leavingElsewhere(boolean said) {
        leavingElsewhere = said;
    }

    synchronized void markLeaving() {
        if (!leaving) {
            leavingRun = Optional.ofNullable(received).map(r -> r.load().incarnation());
            leaving = true;
        }
    }

    /** Takes a checked report that was made at the given time of this entry's clock. */
    synchronized void report(ReportedLoad load, long madeNanos) {
        Received last = received;
        boolean sameRun = last != null && last.load().incarnation().equals(load.incarnation());
        if (sameRun && load.atMs() <= last.load().atMs()) {
            return;
        }
        received = new Received(load, madeNanos, trace.at(madeNanos), sentAt(madeNanos));
        if (unreachable > 0) {
            unreachable = 0;
            avoided = false;
        }
        forecastValid = false;
        if (sameRun) {
            limit.preemptions(load.preemptions() - last.load().preemptions());
        }
        limit.observed(load);
        if (load.leaving()) {
            markLeaving();
        } else if (leaving && !leavingRun.equals(Optional.of(load.incarnation()))) {
            leaving = false;
        }
    }

    private long sentAt(long nanos) {
        long later = flights.stream().filter(f -> f.startNanos() - nanos > 0).count();
        return sent - later;
    }

    synchronized void peers(long now, int requestsChange, long tokensChange) {
        record(now);
        peerRequests = Math.max(0, peerRequests + requestsChange);
        peerTokens = Math.max(0, peerTokens + tokensChange);
        forecastValid = false;
    }

    synchronized void started(RunningFlight flight, long now) {
        record(now);
        flights.add(flight);
        ownRequests++;
        ownTokens += flight.heldTokens();
        sent++;
        claimed++;
        forecast.add(flight.heldTokens(), flight.expectedRemaining(), 1);
    }

    /** Removes a flight; returns the flights that ran beside it if it is the first to tell of a crash. */
    synchronized List<RunningFlight> ended(RunningFlight flight, FlightEnd end, long now) {
        record(now);
        ownRequests--;
        ownTokens -= flight.heldTokens();
        forecast.add(flight.heldTokens(), flight.expectedRemaining(), -1);
        boolean first = flights.remove(flight);
        if (end != FlightEnd.CRASHED || !first) {
            return List.of();
        }
        List<RunningFlight> there = new ArrayList<>(flights);
        there.add(flight);
        // The others report the same crash one by one; it must count once.
        flights.clear();
        return there;
    }

    /** Counts a token of an own flight; {@code gapNanos} is 0 for the first one. */
    void token(long now, long gapNanos) {
        double requests;
        synchronized (this) {
            ownTokens++;
            record(now);
            requests = estimatedRequests(now);
        }
        if (gapNanos > 0) {
            limit.gap(gapNanos, now, requests);
        }
    }

    private void record(long now) {
        trace.add(now, new LoadTrace.Point(ownRequests, ownTokens, peerRequests, peerTokens));
    }

    private Received fresh(long now) {
        Received last = received;
        return last != null && now - last.madeNanos() < STALE_NANOS ? last : null;
    }

    private double estimatedRequests(long now) {
        Received last = fresh(now);
        if (last == null) {
            return ownRequests + peerRequests;
        }
        int reported = last.load().running() + last.load().waiting();
        int change = ownRequests
                - last.then().ownRequests()
                + peerRequests
                - last.then().peerRequests();
        return Math.max(ownRequests, reported + change);
    }

    private double estimatedTokens(long now, double meanPrompt) {
        Received last = fresh(now);
        if (last == null || last.load().kvCapacityTokens() == 0) {
            return ownTokens + peerTokens;
        }
        // Requests that wait at the target hold no memory yet, but the change since the report does not bring it.
        double waiting = last.load().waiting() * meanPrompt;
        long change =
                ownTokens - last.then().ownTokens() + peerTokens - last.then().peerTokens();
        return Math.max(ownTokens, last.load().kvUsedTokens() + waiting + change);
    }

    /**
     * Describes the target for a decision.
     *
     * @param now the monotonic time
     * @param view what this entry knows of all its flights
     * @param prefixTokens tokens of the prompt that are believed to be cached there
     * @param adaptive whether the learned limit applies instead of the configured one
     */
    synchronized TargetSnapshot snapshot(long now, FlightView view, int prefixTokens, boolean adaptive) {
        Received last = fresh(now);
        double requests = estimatedRequests(now);
        double tokens = estimatedTokens(now, view.meanPrompt());
        if (!forecastValid || now - forecastNanos > FORECAST_NANOS) {
            computeForecast(now, view, requests, tokens);
        }
        LoadReport report = last == null ? null : loadReport(last, now);
        long capacity = last == null ? 0 : last.load().kvCapacityTokens();
        Estimate estimate = new Estimate(requests, tokens, forecast, capacity, limit.margin());
        int max = target.maxConcurrent();
        return new TargetSnapshot(
                target.id(),
                target.failureDomain(),
                ownRequests,
                ownTokens,
                growth,
                peerRequests,
                peerTokens,
                Optional.ofNullable(report),
                last == null ? 0 : (int) (sent - last.sentThen()),
                estimate,
                adaptive ? limit.limit() : max,
                max,
                prefixTokens,
                claim(now, view));
    }

    private static LoadReport loadReport(Received last, long now) {
        ReportedLoad load = last.load();
        long age = TimeUnit.NANOSECONDS.toMillis(now - last.madeNanos());
        return new LoadReport(
                age, load.running(), load.waiting(), load.kvUsedTokens(), load.kvCapacityTokens(), load.preemptions());
    }

    private void computeForecast(long now, FlightView view, double requests, double tokens) {
        KvForecast made = new KvForecast();
        growth = 0;
        for (RunningFlight flight : flights) {
            double remaining = flight.expectedRemaining();
            growth += remaining;
            made.add(flight.heldTokens(), remaining, 1);
        }
        double others = requests - flights.size();
        if (others > 0) {
            double held = Math.max(0, tokens - ownTokens) / others;
            double[] remaining = view.remainingQuantiles();
            Arrays.stream(remaining).forEach(r -> made.add(held, r, others / remaining.length));
        }
        forecast = made;
        forecastNanos = now;
        forecastValid = true;
    }

    private Claim claim(long now, FlightView view) {
        long interval = now / CLAIM_NANOS;
        if (interval != claimInterval) {
            claimInterval = interval;
            claimed = 0;
            claimDraw = view.draw();
        }
        return new Claim(view.entries(), claimed, claimDraw);
    }

    /** Keeps new work away for a moment after the target refused some. */
    void refused(long now) {
        avoid(now + REFUSED_NANOS);
    }

    /**
     * Keeps new work away from a target that cannot be reached, longer each time until it reports again. Otherwise its
     * lack of load would attract all requests.
     */
    synchronized void unreachable(long now) {
        unreachable++;
        avoid(now + Math.min(LONGEST_AWAY_NANOS, FIRST_AWAY_NANOS << Math.min(10, unreachable - 1)));
    }

    private void avoid(long untilNanos) {
        avoidUntilNanos = untilNanos;
        avoided = true;
    }

    /** Tells whether the target refused work a moment ago or cannot be reached. */
    boolean refusing(long now) {
        return avoided && now - avoidUntilNanos < 0;
    }

    /** Returns the flights of this entry. */
    synchronized List<RunningFlight> flights() {
        return List.copyOf(flights);
    }

    synchronized int peerRequests() {
        return peerRequests;
    }
}
