package org.verbenatally.policy;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import org.verbenatally.config.Deployment;
import org.verbenatally.config.Target;
import org.verbenatally.core.InstanceId;
import org.verbenatally.core.TargetId;
import org.verbenatally.time.TimerService;
import org.verbenatally.wire.TargetLoad;

/**
 * What this entry knows of the targets: their reports, its own requests in flight, and what peers have in flight. Safe
 * for use by several threads.
 */
public final class TargetTable {
    /** Age assumed for a report whose time stamp makes no sense. */
    private static final long ASSUMED_AGE_MS = 1000;
    /** Reports that claim to be older than this have a wrong clock. */
    private static final long LARGEST_AGE_MS = 30_000;

    private final TimerService timer;
    private final Map<TargetId, TargetState> states = new ConcurrentHashMap<>();
    private final Map<InstanceId, Map<TargetId, TargetLoad>> peers = new HashMap<>();

    /** Creates an empty table on the given clock. */
    public TargetTable(TimerService timer) {
        this.timer = Objects.requireNonNull(timer, "timer");
    }

    /** Takes the targets of a deployment. A target that is no longer listed gets no new work. */
    public synchronized void configure(Deployment deployment) {
        states.keySet().retainAll(deployment.targets().keySet());
        for (Target target : deployment.targets().values()) {
            states.computeIfAbsent(target.id(), id -> new TargetState(target)).target = target;
        }
    }

    /** Takes a load report. A report that makes no sense, or for an unknown target, is ignored. */
    public void report(TargetId target, ReportedLoad load) {
        TargetState state = states.get(target);
        if (state == null || !isPlausible(load)) {
            return;
        }
        long age = timer.epochMillis() - load.atMs();
        if (age < 0 || age > LARGEST_AGE_MS) {
            age = ASSUMED_AGE_MS;
        }
        state.received = new TargetState.Received(load, timer.nanos() - TimeUnit.MILLISECONDS.toNanos(age));
        if (load.leaving()) {
            markLeaving(target);
        } else if (state.leaving && !state.leavingRun.equals(Optional.of(load.incarnation()))) {
            state.leaving = false;
        }
    }

    private static boolean isPlausible(ReportedLoad load) {
        return load.running() >= 0
                && load.waiting() >= 0
                && load.kvUsedTokens() >= 0
                && load.kvCapacityTokens() >= 0
                && load.preemptions() >= 0;
    }

    /** Gives a target no new work from now on, until a new run of it reports that it is not leaving. */
    public void markLeaving(TargetId target) {
        TargetState state = states.get(target);
        if (state != null && !state.leaving) {
            state.leavingRun =
                    Optional.ofNullable(state.received).map(r -> r.load().incarnation());
            state.leaving = true;
        }
    }

    /** Returns the targets that are known to be leaving. */
    public Set<TargetId> leaving() {
        return states.entrySet().stream()
                .filter(e -> e.getValue().leaving)
                .map(Map.Entry::getKey)
                .collect(Collectors.toUnmodifiableSet());
    }

    /** Takes what a peer has in flight; replaces what the same peer said before. */
    public synchronized void peerLoads(InstanceId peer, List<TargetLoad> loads) {
        Map<TargetId, TargetLoad> before = peers.getOrDefault(peer, Map.of());
        Map<TargetId, TargetLoad> after = new HashMap<>();
        for (TargetLoad load : loads) {
            if (load.getRequests() >= 0 && load.getTokens() >= 0) {
                after.put(new TargetId(load.getTarget()), load);
            }
        }
        peers.put(peer, after);
        before.forEach((id, load) -> addPeer(id, -load.getRequests(), -load.getTokens()));
        after.forEach((id, load) -> addPeer(id, load.getRequests(), load.getTokens()));
    }

    /** Forgets what a peer has in flight, after it has gone. */
    public synchronized void forgetPeer(InstanceId peer) {
        peerLoads(peer, List.of());
        peers.remove(peer);
    }

    private void addPeer(TargetId id, int requests, long tokens) {
        TargetState state = states.get(id);
        if (state != null) {
            state.peerRequests = Math.max(0, state.peerRequests + requests);
            state.peerTokens = Math.max(0, state.peerTokens + tokens);
        }
    }

    /** Returns what this entry has in flight, for the peers. Targets without a request are left out. */
    public List<TargetLoad> ownLoads() {
        return states.entrySet().stream()
                .filter(e -> e.getValue().ownRequests.get() > 0)
                .map(e -> new TargetLoad(
                        e.getKey().value(),
                        e.getValue().ownRequests.get(),
                        e.getValue().ownTokens.get()))
                .toList();
    }

    Collection<TargetState> states() {
        return states.values();
    }
}
