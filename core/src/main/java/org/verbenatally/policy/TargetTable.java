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
 * What this entry knows of the targets: their reports, its own requests in flight, and what peers have in flight. Safe
 * for use by several threads.
 */
public final class TargetTable {
    /** Age assumed for a report whose time stamp makes no sense. */
    private static final long ASSUMED_AGE_MS = 1000;
    /** Reports that claim to be older than this have a wrong clock. */
    private static final long LARGEST_AGE_MS = 30_000;
    /** Reports with larger counts make no sense. */
    private static final int LARGEST_COUNT = 1_000_000;

    private static final TargetState[] NONE = {};

    /** The targets by what they are configured to run, in the order of their ids. Replaced as a whole. */
    private record Index(Map<ModelName, TargetState[]> byModel, TargetState[] engines, TargetState[] services) {}

    private final TimerService timer;
    private final Map<TargetId, TargetState> states = new ConcurrentHashMap<>();
    private final Map<InstanceId, Map<TargetId, TargetLoad>> peers = new HashMap<>();
    private final Map<InstanceId, Set<TargetId>> leavingAtPeers = new HashMap<>();
    private Set<TargetId> listedLeaving = Set.of();
    private volatile Index index = new Index(Map.of(), NONE, NONE);

    /** Creates an empty table on the given clock. */
    public TargetTable(TimerService timer) {
        this.timer = Objects.requireNonNull(timer, "timer");
    }

    /** Takes the targets of a deployment. A target that is no longer listed gets no new work. */
    public synchronized void configure(Deployment deployment) {
        long gap = TimeUnit.MILLISECONDS.toNanos(deployment.levels().tokenGapMs());
        states.keySet().retainAll(deployment.targets().keySet());
        for (Target target : deployment.targets().values()) {
            states.computeIfAbsent(target.id(), id -> new TargetState(target, gap))
                    .target(target);
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
        byModel.forEach((model, list) -> arrays.put(model, list.toArray(NONE)));
        index = new Index(arrays, engines.toArray(NONE), services.toArray(NONE));
        updateLeaving();
    }

    /** Takes a load report. A report that makes no sense, is out of order or for an unknown target is ignored. */
    public void report(TargetId target, ReportedLoad load) {
        TargetState state = states.get(target);
        if (state == null || !isPlausible(load)) {
            return;
        }
        long age = timer.epochMillis() - load.atMs();
        if (age < 0 || age > LARGEST_AGE_MS) {
            age = ASSUMED_AGE_MS;
        }
        state.report(load, timer.nanos() - TimeUnit.MILLISECONDS.toNanos(age));
    }

    private static boolean isPlausible(ReportedLoad load) {
        return load.running() >= 0
                && load.running() <= LARGEST_COUNT
                && load.waiting() >= 0
                && load.waiting() <= LARGEST_COUNT
                && load.kvUsedTokens() >= 0
                && load.kvCapacityTokens() >= 0
                && load.kvUsedTokens() <= 2 * load.kvCapacityTokens()
                && load.preemptions() >= 0;
    }

    /**
     * Gives a target that said so itself no new work from now on, until a new run of it reports that it is not leaving.
     */
    public void markLeaving(TargetId target) {
        TargetState state = states.get(target);
        if (state != null) {
            state.markLeaving();
        }
    }

    /** Takes the targets that the platform lists as leaving; replaces what the list said before. */
    public synchronized void listedLeaving(Set<TargetId> listed) {
        listedLeaving = Set.copyOf(listed);
        updateLeaving();
    }

    /** Takes the targets that a peer knows to be leaving; replaces what the same peer said before. */
    public synchronized void peerLeaving(InstanceId peer, Set<TargetId> targets) {
        leavingAtPeers.put(peer, Set.copyOf(targets));
        updateLeaving();
    }

    private void updateLeaving() {
        Set<TargetId> said = new HashSet<>(listedLeaving);
        leavingAtPeers.values().forEach(said::addAll);
        states.forEach((id, state) -> state.leavingElsewhere(said.contains(id)));
    }

    /** Returns the targets that are known to be leaving, from whatever source. */
    public Set<TargetId> leaving() {
        return leaving(TargetState::leaving);
    }

    /**
     * Returns the targets that said themselves that they are leaving or that the platform lists so. Peers are told only
     * of these: hearsay that is passed on would come back and outlive the restart of the target.
     */
    public synchronized Set<TargetId> knownLeaving() {
        Set<TargetId> known = new HashSet<>(leaving(TargetState::saidLeaving));
        known.addAll(listedLeaving);
        known.retainAll(states.keySet());
        return known;
    }

    private Set<TargetId> leaving(Predicate<TargetState> filter) {
        return states.entrySet().stream()
                .filter(e -> filter.test(e.getValue()))
                .map(Map.Entry::getKey)
                .collect(Collectors.toUnmodifiableSet());
    }

    /**
     * Takes what a peer has in flight; replaces what the same peer said before. Rows that make no sense are ignored.
     */
    public synchronized void peerLoads(InstanceId peer, List<TargetLoad> loads) {
        Map<TargetId, TargetLoad> before = peers.getOrDefault(peer, Map.of());
        Map<TargetId, TargetLoad> after = new HashMap<>();
        for (TargetLoad load : loads) {
            boolean plausible = load.getRequests() >= 0 && load.getRequests() <= LARGEST_COUNT && load.getTokens() >= 0;
            TargetId id = plausible ? new TargetId(load.getTarget()) : null;
            if (plausible && states.containsKey(id)) {
                after.put(id, load);
            }
        }
        peers.put(peer, after);
        TargetLoad none = new TargetLoad("", 0, 0);
        long now = timer.nanos();
        before.forEach((id, load) -> {
            if (!after.containsKey(id)) {
                change(id, load, none, now);
            }
        });
        after.forEach((id, load) -> change(id, before.getOrDefault(id, none), load, now));
    }

    /** Forgets what a peer said, after it has gone. */
    public synchronized void forgetPeer(InstanceId peer) {
        peerLoads(peer, List.of());
        peers.remove(peer);
        leavingAtPeers.remove(peer);
        updateLeaving();
    }

    private void change(TargetId id, TargetLoad from, TargetLoad to, long now) {
        TargetState state = states.get(id);
        if (state != null) {
            state.peers(now, to.getRequests() - from.getRequests(), to.getTokens() - from.getTokens());
        }
    }

    /** Returns what this entry has in flight, for the peers. Targets without a request are left out. */
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
    TargetState[] configured(Kind kind) {
        Index present = index;
        if (kind.runsOn() == TargetType.SERVICE) {
            return present.services();
        }
        return kind.model().map(m -> present.byModel().get(m)).orElse(present.engines());
    }

    /** Tells whether any target may run a kind now. Stops at the first. */
    boolean anyMayRun(Kind kind) {
        return Arrays.stream(configured(kind)).anyMatch(s -> s.mayRun(kind));
    }
}
