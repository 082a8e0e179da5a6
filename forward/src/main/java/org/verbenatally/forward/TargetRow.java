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
final class TargetRow {
    /** A target that could not be reached is tried again after this time, then after twice as long, and so on. */
    private static final Duration FIRST_SUSPENSION = Duration.ofMillis(500);

    private static final Duration LONGEST_SUSPENSION = Duration.ofSeconds(4);
    /** Good answers that are taken for granted, so that a single failure does not condemn a target. */
    private static final int PRIOR_ANSWERS = 9;

    private volatile ForwardTarget target;
    private volatile boolean withdrawn;
    private volatile long revision;
    private final Runnable onLoad;
    private final Set<Flight> flights = ConcurrentHashMap.newKeySet();
    private final Set<Flight> copies = ConcurrentHashMap.newKeySet();
    private final Map<InstanceId, PeerLoad> peers = new HashMap<>();
    private volatile PeerLoad peerSum = PeerLoad.NONE;
    private long suspendedUntil;
    private boolean suspended;
    private boolean inDoubt;
    private Duration suspension = FIRST_SUSPENSION;
    private final RecentOutcomes outcomes = new RecentOutcomes();

    /**
     * What a peer has at a target.
     *
     * @param requests requests on their way
     * @param tokens memory that they are expected to need, in tokens
     * @param unreadTokens prompt tokens among them that the target has probably not read yet
     * @param failures requests that the target failed lately
     * @param answers requests that it answered in the same time, the failed ones included; 0 if it failed none
     */
    record PeerLoad(int requests, long tokens, long unreadTokens, int failures, int answers) {
        static final PeerLoad NONE = new PeerLoad(0, 0, 0, 0, 0);

        private PeerLoad plus(PeerLoad other, int sign) {
            return new PeerLoad(
                    requests + sign * other.requests,
                    tokens + sign * other.tokens,
                    unreadTokens + sign * other.unreadTokens,
                    failures + sign * other.failures,
                    answers + sign * other.answers);
        }
    }

    /**
     * Creates a row without load.
     *
     * @param revision revision of the published list at which the entry was written
     * @param onLoad told whenever the load of this instance at the target changes
     */
    TargetRow(ForwardTarget target, long revision, Runnable onLoad) {
        this.target = Objects.requireNonNull(target, "target");
        this.revision = revision;
        this.onLoad = Objects.requireNonNull(onLoad, "onLoad");
    }

    ForwardTarget target() {
        return target;
    }

    /** Returns the revision of the published list up to which the entry is known. */
    long revision() {
        return revision;
    }

    /** Takes the entry as it was published at a revision. */
    void publish(ForwardTarget entry, long at) {
        if (!entry.isSameRun(target)) {
            recovered();
        }
        target = entry;
        withdrawn = false;
        revision = at;
    }

    /** The published list no longer has it at a revision. */
    void withdraw(long at) {
        withdrawn = true;
        revision = at;
    }

    boolean isWithdrawn() {
        return withdrawn;
    }

    boolean isLeaving() {
        return withdrawn || target.leaving();
    }

    void begin(Flight flight) {
        flights.add(flight);
        loadChanged(flight);
    }

    void end(Flight flight) {
        flights.remove(flight);
        loadChanged(flight);
    }

    void keepCopy(Flight flight) {
        copies.add(flight);
        loadChanged(flight);
    }

    void dropCopy(Flight flight) {
        copies.remove(flight);
        loadChanged(flight);
    }

    /** Calls of plain services end before others have heard of them. */
    void loadChanged(Flight flight) {
        if (flight.isGeneration()) {
            onLoad.run();
        }
    }

    List<Flight> flights() {
        return List.copyOf(flights);
    }

    int ownRequests() {
        return flights.size();
    }

    long ownTokens() {
        return flights.stream().mapToLong(Flight::memory).sum()
                + copies.stream().mapToLong(Flight::memory).sum();
    }

    long unreadTokens() {
        return flights.stream().mapToLong(Flight::unreadTokens).sum();
    }

    synchronized void peerLoad(InstanceId peer, PeerLoad load) {
        PeerLoad before = load.equals(PeerLoad.NONE) ? peers.remove(peer) : peers.put(peer, load);
        peerSum = peerSum.plus(load, 1).plus(before == null ? PeerLoad.NONE : before, -1);
    }

    int peerRequests() {
        return peerSum.requests();
    }

    long peerTokens() {
        return peerSum.tokens();
    }

    long peerUnreadTokens() {
        return peerSum.unreadTokens();
    }

    /** The target could not be reached, or fell silent. */
    synchronized void unreachable(long now) {
        suspended = true;
        suspendedUntil = now + suspension.toNanos();
        suspension = suspension.multipliedBy(2);
        if (suspension.compareTo(LONGEST_SUSPENSION) > 0) {
            suspension = LONGEST_SUSPENSION;
        }
    }

    /** An answer arrived whole, or was lost; the other instances are told of failures. */
    void answered(boolean failure, long now) {
        outcomes.add(failure, now);
        if (failure) {
            onLoad.run();
        } else {
            listensAndServes();
        }
    }

    private synchronized void listensAndServes() {
        inDoubt = false;
        suspended = false;
        suspension = FIRST_SUSPENSION;
    }

    /**
     * Returns whether to look if the target died: not while somebody looks, and not again after it died, until it has
     * answered or started anew.
     */
    synchronized boolean doubt() {
        boolean isNew = !inDoubt;
        inDoubt = true;
        return isNew;
    }

    /** The target was found to listen. */
    synchronized void listens() {
        inDoubt = false;
    }

    private void recovered() {
        listensAndServes();
        outcomes.reset();
    }

    /** Returns what this instance has seen of its answers lately. */
    RecentOutcomes outcomes() {
        return outcomes;
    }

    /** Returns the share of recent requests that it failed, 0 to 1, as all instances have seen. */
    double failureShare(long now) {
        PeerLoad others = peerSum;
        int failures = outcomes.failures(now) + others.failures();
        int answers = outcomes.answers(now) + others.answers();
        return (double) failures / (answers + PRIOR_ANSWERS);
    }

    synchronized boolean isSuspended(long now) {
        return suspended && now - suspendedUntil < 0;
    }
}
