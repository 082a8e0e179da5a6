package org.verbenatally.forward;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.verbenatally.core.InstanceId;
import org.verbenatally.core.SourceRevision;
import org.verbenatally.forward.speed.SpeedReport;
import org.verbenatally.forward.speed.TargetSpeed;

/**
 * State of one target: its published description, the load of this instance and its peers there, and recent failures.
 */
final class TargetState {
    /** A target that could not be reached is tried again after this time, which doubles with each further failure. */
    private static final Duration FIRST_SUSPENSION = Duration.ofMillis(500);

    private static final Duration MAX_SUSPENSION = Duration.ofSeconds(4);
    /** Successful responses that are assumed beforehand, so that a single failure does not exclude a target. */
    private static final int PRIOR_SUCCESSES = 9;

    private volatile ForwardTarget target;
    private volatile boolean unpublished;
    /** Whether the present run of the target has announced its departure, to this instance or another. */
    private volatile boolean departing;

    private volatile SourceRevision revision;
    private final Runnable onLoadChange;
    private final Set<InFlightRequest> inFlightRequests = ConcurrentHashMap.newKeySet();
    private final Set<CopyReservation> copies = ConcurrentHashMap.newKeySet();
    private final Map<InstanceId, PeerLoad> peerLoads = new HashMap<>();
    private volatile PeerLoad peerTotal = PeerLoad.NONE;
    private long suspendedUntil;
    private boolean suspended;
    private boolean suspected;
    /** Whether the target could not be reached, and no connection to it has been made since. */
    private boolean unreachable;

    /** Whether and when the target was last seen to accept a connection or to send data. */
    private volatile boolean reached;

    private volatile long reachedAt;
    /** Whether and when it could last not be reached. */
    private volatile boolean failed;

    private volatile long failedAt;

    private Duration suspension = FIRST_SUSPENSION;
    private final RecentOutcomes outcomes = new RecentOutcomes();
    private final TargetSpeed speed = new TargetSpeed();

    /**
     * Load of a peer at a target, and the failures that it has seen there.
     *
     * @param requests requests in flight
     * @param tokens memory that they are expected to need, in tokens
     * @param unreadTokens prompt tokens among them that the target has probably not read yet
     * @param failures requests that the target failed recently
     * @param responses requests that it responded to in the same time, the failed ones included; 0 if it failed none
     * @param speed speed of the target as the peer has measured it
     */
    record PeerLoad(int requests, long tokens, long unreadTokens, int failures, int responses, SpeedReport speed) {
        static final PeerLoad NONE = new PeerLoad(0, 0, 0, 0, 0, SpeedReport.NONE);

        private PeerLoad plus(PeerLoad other, int sign) {
            return new PeerLoad(
                    requests + sign * other.requests,
                    tokens + sign * other.tokens,
                    unreadTokens + sign * other.unreadTokens,
                    failures + sign * other.failures,
                    responses + sign * other.responses,
                    SpeedReport.NONE);
        }
    }

    /**
     * Creates the state of a target without load.
     *
     * @param revision revision of the published list at which the target was written
     * @param onLoadChange called whenever the load of this instance at the target changes
     */
    TargetState(ForwardTarget target, SourceRevision revision, Runnable onLoadChange) {
        this.target = Objects.requireNonNull(target, "target");
        this.revision = Objects.requireNonNull(revision, "revision");
        this.onLoadChange = Objects.requireNonNull(onLoadChange, "onLoadChange");
    }

    ForwardTarget target() {
        return target;
    }

    /** Returns the revision of the published list that this state reflects. */
    SourceRevision revision() {
        return revision;
    }

    /** Records the target as it was published at a revision. */
    void publish(ForwardTarget published, SourceRevision atRevision) {
        if (!published.isSameRun(target)) {
            onRestart();
        }
        departing &= published.isSameRun(target) && published.leaving();
        target = published;
        unpublished = false;
        revision = atRevision;
    }

    /** Records that the published list no longer contains the target at a revision. */
    void unpublish(SourceRevision atRevision) {
        unpublished = true;
        revision = atRevision;
    }

    /** Records that the present run of the target has announced its departure, to this instance or another. */
    void announceDeparture() {
        departing = true;
        target = target.asLeaving();
    }

    /** Returns whether the present run of the target has announced its departure, to this instance or another. */
    boolean isDeparting() {
        return departing;
    }

    boolean isUnpublished() {
        return unpublished;
    }

    boolean isLeaving() {
        return unpublished || target.leaving();
    }

    void addInFlight(InFlightRequest inFlight) {
        inFlightRequests.add(inFlight);
        reportLoadChange(inFlight);
    }

    void removeInFlight(InFlightRequest inFlight) {
        inFlightRequests.remove(inFlight);
        reportLoadChange(inFlight);
    }

    /** Memory at this engine for one copy of a generation. */
    final class CopyReservation implements AutoCloseable {
        private final InFlightRequest inFlight;

        private CopyReservation(InFlightRequest inFlight) {
            this.inFlight = inFlight;
        }

        /** Returns the memory. Has no effect if it was returned before. */
        @Override
        public void close() {
            if (copies.remove(this)) {
                reportLoadChange(inFlight);
            }
        }
    }

    /** Reserves memory for a copy of a generation. An engine may keep several copies of one, each with its own. */
    CopyReservation reserveCopy(InFlightRequest inFlight) {
        CopyReservation reservation = new CopyReservation(inFlight);
        copies.add(reservation);
        reportLoadChange(inFlight);
        return reservation;
    }

    /**
     * Reports a change of load to the peers. Requests to plain services are not reported: they end before the report
     * arrives.
     */
    void reportLoadChange(InFlightRequest inFlight) {
        if (inFlight.isGeneration()) {
            onLoadChange.run();
        }
    }

    List<InFlightRequest> inFlightRequests() {
        return List.copyOf(inFlightRequests);
    }

    int ownRequests() {
        return inFlightRequests.size();
    }

    /** Returns how many copies of generations have memory reserved at this engine. */
    int ownCopies() {
        return copies.size();
    }

    long ownTokens() {
        return inFlightRequests.stream()
                        .mapToLong(InFlightRequest::expectedMemory)
                        .sum()
                + copies.stream()
                        .mapToLong(copy -> copy.inFlight.expectedMemory())
                        .sum();
    }

    long unreadTokens() {
        return inFlightRequests.stream()
                .mapToLong(InFlightRequest::unreadTokens)
                .sum();
    }

    /**
     * Replaces what a peer has reported.
     *
     * @param now monotonic time, in nanoseconds
     */
    synchronized void updatePeerLoad(InstanceId peer, PeerLoad load, long now) {
        speed.onReport(peer, load.speed(), now);
        PeerLoad before = load.equals(PeerLoad.NONE) ? peerLoads.remove(peer) : peerLoads.put(peer, load);
        peerTotal = peerTotal.plus(load, 1).plus(before == null ? PeerLoad.NONE : before, -1);
    }

    int peerRequests() {
        return peerTotal.requests();
    }

    long peerTokens() {
        return peerTotal.tokens();
    }

    long peerUnreadTokens() {
        return peerTotal.unreadTokens();
    }

    /** Suspends the target, which could not be reached or stopped sending data. */
    synchronized void onUnreachable(long now) {
        suspended = true;
        unreachable = true;
        failedAt = now;
        failed = true;
        suspendedUntil = now + suspension.toNanos();
        suspension = suspension.multipliedBy(2);
        if (suspension.compareTo(MAX_SUSPENSION) > 0) {
            suspension = MAX_SUSPENSION;
        }
    }

    /** Records that the target has accepted a new connection or has sent data. */
    void onContact(long now) {
        reachedAt = now;
        reached = true;
    }

    /** Returns when any of some targets was last seen to accept a connection or to send data; empty if none was. */
    static OptionalLong latestContact(List<TargetState> targets) {
        return targets.stream()
                .filter(target -> target.reached)
                .mapToLong(target -> target.reachedAt)
                // Differences, as monotonic times may overflow.
                .reduce((a, b) -> a - b > 0 ? a : b);
    }

    /** Returns whether the target could not be reached at some time after the given one, or ever if that is empty. */
    boolean hasFailedSince(OptionalLong time) {
        return failed && (time.isEmpty() || failedAt - time.getAsLong() > 0);
    }

    /** Lets the target be chosen again before its suspension has ended. */
    synchronized void endSuspension() {
        suspended = false;
        suspension = FIRST_SUSPENSION;
    }

    /** Records that a connection was made; returns whether it is the first since the target could not be reached. */
    synchronized boolean onConnected() {
        boolean returned = unreachable;
        unreachable = false;
        return returned;
    }

    /** Records a complete response, or the loss of one; failures are reported to the other instances. */
    void recordOutcome(boolean failure, long now) {
        outcomes.add(failure, now);
        if (failure) {
            onLoadChange.run();
        } else {
            markHealthy();
        }
    }

    private synchronized void markHealthy() {
        suspected = false;
        unreachable = false;
        suspended = false;
        suspension = FIRST_SUSPENSION;
    }

    /**
     * Marks the target as suspected of having died. Returns whether to check it: not while a check is running, and not
     * again after it has died, until it has responded or restarted.
     */
    synchronized boolean trySuspect() {
        boolean isNew = !suspected;
        suspected = true;
        return isNew;
    }

    /** Records that the target was found to accept connections. */
    synchronized void onListening() {
        suspected = false;
    }

    private void onRestart() {
        markHealthy();
        outcomes.reset();
        speed.reset();
    }

    /** Returns the measured speed of the present run of the target. */
    TargetSpeed speed() {
        return speed;
    }

    /** Returns the recent outcomes that this instance has seen. */
    RecentOutcomes outcomes() {
        return outcomes;
    }

    /** Returns the share of recent requests that the target failed, 0 to 1, as seen by all instances. */
    double failureShare(long now) {
        PeerLoad peerTotals = peerTotal;
        int failures = outcomes.failures(now) + peerTotals.failures();
        int responses = outcomes.responses(now) + peerTotals.responses();
        return (double) failures / (responses + PRIOR_SUCCESSES);
    }

    synchronized boolean isSuspended(long now) {
        return suspended && now - suspendedUntil < 0;
    }
}
