package org.verbenatally.forward;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.verbenatally.core.InstanceId;

/** What this instance knows of one target: the published entry, the load here and at peers, and recent failures. */
final class TargetState {
    /** A target that could not be reached is tried again after this time, then after twice as long, and so on. */
    private static final Duration FIRST_SUSPENSION = Duration.ofMillis(500);

    private static final Duration LONGEST_SUSPENSION = Duration.ofSeconds(4);
    /** Good answers that are taken for granted, so that a single failure does not condemn a target. */
    private static final int PRIOR_SUCCESSES = 9;

    private volatile ForwardTarget target;
    private volatile boolean unpublished;
    private volatile long revision;
    private final Runnable onLoadChange;
    private final Set<InFlightRequest> inFlightRequests = ConcurrentHashMap.newKeySet();
    private final Set<InFlightRequest> copies = ConcurrentHashMap.newKeySet();
    private final Map<InstanceId, PeerLoad> peerLoads = new HashMap<>();
    private volatile PeerLoad peerTotal = PeerLoad.NONE;
    private long suspendedUntil;
    private boolean suspended;
    private boolean suspected;
    private Duration suspension = FIRST_SUSPENSION;
    private final RecentOutcomes outcomes = new RecentOutcomes();

    /**
     * What a peer has at a target.
     *
     * @param requests requests on their way
     * @param tokens memory that they are expected to need, in tokens
     * @param unreadTokens prompt tokens among them that the target has probably not read yet
     * @param failures requests that the target failed lately
     * @param responses requests that it answered in the same time, the failed ones included; 0 if it failed none
     */
    record PeerLoad(int requests, long tokens, long unreadTokens, int failures, int responses) {
        static final PeerLoad NONE = new PeerLoad(0, 0, 0, 0, 0);

        private PeerLoad plus(PeerLoad other, int sign) {
            return new PeerLoad(
                    requests + sign * other.requests,
                    tokens + sign * other.tokens,
                    unreadTokens + sign * other.unreadTokens,
                    failures + sign * other.failures,
                    responses + sign * other.responses);
        }
    }

    /**
     * Creates a row without load.
     *
     * @param revision revision of the published list at which the entry was written
     * @param onLoadChange told whenever the load of this instance at the target changes
     */
    TargetState(ForwardTarget target, long revision, Runnable onLoadChange) {
        this.target = Objects.requireNonNull(target, "target");
        this.revision = revision;
        this.onLoadChange = Objects.requireNonNull(onLoadChange, "onLoadChange");
    }

    ForwardTarget target() {
        return target;
    }

    /** Returns the revision of the published list up to which the entry is known. */
    long revision() {
        return revision;
    }

    /** Takes the entry as it was published at a revision. */
    void publish(ForwardTarget entry, long atRevision) {
        if (!entry.isSameRun(target)) {
            onRestart();
        }
        target = entry;
        unpublished = false;
        revision = atRevision;
    }

    /** The published list no longer has it at a revision. */
    void unpublish(long atRevision) {
        unpublished = true;
        revision = atRevision;
    }

    boolean isUnpublished() {
        return unpublished;
    }

    boolean isLeaving() {
        return unpublished || target.leaving();
    }

    void addInFlight(InFlightRequest inFlight) {
        inFlightRequests.add(inFlight);
        loadChanged(inFlight);
    }

    void removeInFlight(InFlightRequest inFlight) {
        inFlightRequests.remove(inFlight);
        loadChanged(inFlight);
    }

    void reserveCopy(InFlightRequest inFlight) {
        copies.add(inFlight);
        loadChanged(inFlight);
    }

    void releaseCopy(InFlightRequest inFlight) {
        copies.remove(inFlight);
        loadChanged(inFlight);
    }

    /** Calls of plain services end before others have heard of them. */
    void loadChanged(InFlightRequest inFlight) {
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

    long ownTokens() {
        return inFlightRequests.stream()
                        .mapToLong(InFlightRequest::expectedMemory)
                        .sum()
                + copies.stream().mapToLong(InFlightRequest::expectedMemory).sum();
    }

    long unreadTokens() {
        return inFlightRequests.stream()
                .mapToLong(InFlightRequest::unreadTokens)
                .sum();
    }

    synchronized void updatePeerLoad(InstanceId peer, PeerLoad load) {
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

    /** The target could not be reached, or fell silent. */
    synchronized void onUnreachable(long now) {
        suspended = true;
        suspendedUntil = now + suspension.toNanos();
        suspension = suspension.multipliedBy(2);
        if (suspension.compareTo(LONGEST_SUSPENSION) > 0) {
            suspension = LONGEST_SUSPENSION;
        }
    }

    /** An answer arrived whole, or was lost; the other instances are told of failures. */
    void recordOutcome(boolean failure, long now) {
        outcomes.add(failure, now);
        if (failure) {
            onLoadChange.run();
        } else {
            clearSuspension();
        }
    }

    private synchronized void clearSuspension() {
        suspected = false;
        suspended = false;
        suspension = FIRST_SUSPENSION;
    }

    /**
     * Returns whether to look if the target died: not while somebody looks, and not again after it died, until it has
     * answered or started anew.
     */
    synchronized boolean trySuspect() {
        boolean isNew = !suspected;
        suspected = true;
        return isNew;
    }

    /** The target was found to listen. */
    synchronized void onListening() {
        suspected = false;
    }

    private void onRestart() {
        clearSuspension();
        outcomes.reset();
    }

    /** Returns what this instance has seen of its answers lately. */
    RecentOutcomes outcomes() {
        return outcomes;
    }

    /** Returns the share of recent requests that it failed, 0 to 1, as all instances have seen. */
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
