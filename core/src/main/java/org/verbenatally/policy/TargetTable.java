package org.verbenatally.policy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import org.verbenatally.config.Deployment;
import org.verbenatally.config.Kind;
import org.verbenatally.config.Target;
import org.verbenatally.config.TargetType;
import org.verbenatally.core.InstanceId;
import org.verbenatally.core.ModelName;
import org.verbenatally.core.TargetId;
import org.verbenatally.time.TimerService;
import org.verbenatally.wire.TargetLoad;

/**
 * What this entry knows about the targets: their load reports, its own requests in flight, and what its peers have in
 * flight. Safe for use by several threads.
 */
public final class TargetTable {
    /** Age, in milliseconds, that is assumed for a report with an implausible timestamp. */
    private static final long ASSUMED_AGE_MS = 1000;
    /** Largest plausible age of a report, in milliseconds; if it appears older, the clock of its target is wrong. */
    private static final long MAX_AGE_MS = 30_000;
    /** Largest plausible count in a report. */
    private static final int MAX_COUNT = 1_000_000;

    private static final TargetState[] NO_TARGETS = {};

    /** The targets by what they are configured to run, in the order of their ids. The index is replaced as a unit. */
    private record Index(Map<ModelName, TargetState[]> byModel, TargetState[] engines, TargetState[] services) {}

    private final TimerService timer;
    private final Map<TargetId, TargetState> states = new ConcurrentHashMap<>();
    private final Map<InstanceId, Map<TargetId, TargetLoad>> loadsByPeer = new HashMap<>();
    private final Map<InstanceId, Set<TargetId>> leavingByPeer = new HashMap<>();
    private Set<TargetId> publishedLeaving = Set.of();
    private volatile Index index = new Index(Map.of(), NO_TARGETS, NO_TARGETS);

    /** Creates an empty table on the given clock. */
    public TargetTable(TimerService timer) {
        this.timer = Objects.requireNonNull(timer, "timer");
    }

    /** Applies the targets of a deployment. A target that is no longer configured gets no new work. */
    public synchronized void configure(Deployment deployment) {
        long gapTargetNanos = TimeUnit.MILLISECONDS.toNanos(deployment.levels().tokenGapMs());
        states.keySet().retainAll(deployment.targets().keySet());
        for (Target target : deployment.targets().values()) {
            states.computeIfAbsent(target.id(), id -> new TargetState(target, gapTargetNanos))
                    .updateTarget(target);
        }
        Map<ModelName, List<TargetState>> byModel = new HashMap<>();
        List<TargetState> engines = new ArrayList<>();
        List<TargetState> services = new ArrayList<>();
        List<TargetState> sorted = states.values().stream()
                .sorted(Comparator.comparing(s -> s.target().id()))
                .toList();
        for (TargetState state : sorted) {
            (state.target().type() == TargetType.ENGINE ? engines : services).add(state);
            state.target()
                    .models()
                    .forEach(m -> byModel.computeIfAbsent(m.model(), k -> new ArrayList<>())
                            .add(state));
        }
        Map<ModelName, TargetState[]> arrays = new HashMap<>();
        byModel.forEach((model, list) -> arrays.put(model, list.toArray(NO_TARGETS)));
        index = new Index(arrays, engines.toArray(NO_TARGETS), services.toArray(NO_TARGETS));
        updateLeaving();
    }

    /** Records a load report. A report is ignored if it is implausible, out of order, or from an unknown target. */
    public void recordReport(TargetId target, ReportedLoad load) {
        TargetState state = states.get(target);
        if (state == null || !isPlausible(load)) {
            return;
        }
        long age = timer.epochMillis() - load.atMs();
        if (age < 0 || age > MAX_AGE_MS) {
            age = ASSUMED_AGE_MS;
        }
        state.recordReport(load, timer.nanos() - TimeUnit.MILLISECONDS.toNanos(age));
    }

    private static boolean isPlausible(ReportedLoad load) {
        return load.running() >= 0
                && load.running() <= MAX_COUNT
                && load.waiting() >= 0
                && load.waiting() <= MAX_COUNT
                && load.kvUsedTokens() >= 0
                && load.kvCapacityTokens() >= 0
                && load.kvUsedTokens() <= 2 * load.kvCapacityTokens()
                && load.preemptions() >= 0;
    }

    /**
     * Marks a target that reported itself as leaving: it gets no new work until a new incarnation of it reports that it
     * is not leaving.
     */
    public void markLeaving(TargetId target) {
        TargetState state = states.get(target);
        if (state != null) {
            state.markLeaving();
        }
    }

    /** Sets the targets that the platform's published list marks as leaving, replacing those of the previous list. */
    public synchronized void setPublishedLeaving(Set<TargetId> published) {
        publishedLeaving = Set.copyOf(published);
        updateLeaving();
    }

    /** Sets the targets that a peer knows to be leaving, replacing those that it reported before. */
    public synchronized void setPeerLeaving(InstanceId peer, Set<TargetId> targets) {
        leavingByPeer.put(peer, Set.copyOf(targets));
        updateLeaving();
    }

    private void updateLeaving() {
        Set<TargetId> reportedLeaving = new HashSet<>(publishedLeaving);
        leavingByPeer.values().forEach(reportedLeaving::addAll);
        states.forEach((id, state) -> state.setLeavingReportedByOthers(reportedLeaving.contains(id)));
    }

    /** Returns the targets that are known to be leaving, from any source. */
    public Set<TargetId> leavingTargets() {
        return leavingTargets(TargetState::isLeaving);
    }

    /**
     * Returns the targets that reported themselves as leaving or that the platform's published list marks as leaving.
     * Only these are passed on to peers: if second-hand reports were passed on as well, they would come back and
     * outlive the restart of the target.
     */
    public synchronized Set<TargetId> firstHandLeaving() {
        Set<TargetId> firstHand = new HashSet<>(leavingTargets(TargetState::hasReportedLeaving));
        firstHand.addAll(publishedLeaving);
        firstHand.retainAll(states.keySet());
        return firstHand;
    }

    private Set<TargetId> leavingTargets(Predicate<TargetState> filter) {
        return states.entrySet().stream()
                .filter(e -> filter.test(e.getValue()))
                .map(Map.Entry::getKey)
                .collect(Collectors.toUnmodifiableSet());
    }

    /** Sets what a peer has in flight, replacing what it reported before. Implausible records are ignored. */
    public synchronized void setPeerLoads(InstanceId peer, List<TargetLoad> loads) {
        Map<TargetId, TargetLoad> before = loadsByPeer.getOrDefault(peer, Map.of());
        Map<TargetId, TargetLoad> after = new HashMap<>();
        for (TargetLoad load : loads) {
            boolean plausible = load.getRequests() >= 0 && load.getRequests() <= MAX_COUNT && load.getTokens() >= 0;
            TargetId id = plausible ? new TargetId(load.getTarget()) : null;
            if (plausible && states.containsKey(id)) {
                after.put(id, load);
            }
        }
        loadsByPeer.put(peer, after);
        TargetLoad none = new TargetLoad("", 0, 0);
        long now = timer.nanos();
        before.forEach((id, load) -> {
            if (!after.containsKey(id)) {
                applyChange(id, load, none, now);
            }
        });
        after.forEach((id, load) -> applyChange(id, before.getOrDefault(id, none), load, now));
    }

    /** Discards all reports of a peer that is gone. */
    public synchronized void removePeer(InstanceId peer) {
        setPeerLoads(peer, List.of());
        loadsByPeer.remove(peer);
        leavingByPeer.remove(peer);
        updateLeaving();
    }

    private void applyChange(TargetId id, TargetLoad from, TargetLoad to, long now) {
        TargetState state = states.get(id);
        if (state != null) {
            state.adjustPeerLoad(now, to.getRequests() - from.getRequests(), to.getTokens() - from.getTokens());
        }
    }

    /** Returns what this entry has in flight, for its peers. Targets without a request are left out. */
    public List<TargetLoad> ownLoads() {
        return states.entrySet().stream()
                .filter(e -> e.getValue().ownRequests() > 0)
                .map(e -> new TargetLoad(
                        e.getKey().value(),
                        e.getValue().ownRequests(),
                        e.getValue().ownTokens()))
                .toList();
    }

    Collection<TargetState> states() {
        return states.values();
    }

    TargetState state(TargetId id) {
        return states.get(id);
    }

    /** Returns the targets that are configured to run a kind, in the order of their ids. */
    TargetState[] configuredFor(Kind kind) {
        Index current = index;
        if (kind.runsOn() == TargetType.SERVICE) {
            return current.services();
        }
        return kind.model().map(m -> current.byModel().get(m)).orElse(current.engines());
    }

    /** Returns whether any target may run a kind now. Stops at the first such target. */
    boolean hasEligibleTarget(Kind kind) {
        return Arrays.stream(configuredFor(kind)).anyMatch(s -> s.isEligibleFor(kind));
    }
}
