package org.verbenatally.forward;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;

import org.jboss.logging.Logger;
import org.verbenatally.core.FailureDomain;
import org.verbenatally.core.InstanceId;
import org.verbenatally.core.LogEvent;
import org.verbenatally.core.ServiceName;
import org.verbenatally.core.SourceRevision;
import org.verbenatally.core.TargetId;
import org.verbenatally.forward.evacuation.EvacuationTable;
import org.verbenatally.forward.speed.SpeedReport;
import org.verbenatally.time.TimerService;
import org.verbenatally.wire.PublishedTarget;
import org.verbenatally.wire.TargetLoad;

/**
 * The published targets, with what this instance and its peers know of each. A few instances at a time read the list
 * and pass on what has changed; of two records of a target, the one with the later revision counts. After a restore of
 * the source from a copy, which begins a new epoch, targets that are known to have left do not get new work from the
 * records in the copy. Safe for use by several threads.
 */
public final class TargetDirectory {
    private static final Logger LOG = Logger.getLogger(TargetDirectory.class);

    /**
     * Records that expired while the list could not be read, or that a restore of the list has lost, are written again
     * within this time after it can be read again.
     */
    private static final Duration RETURN_GRACE = Duration.ofSeconds(2);
    /** Time for which a target that has left is kept, for requests that still run there and for slower peers. */
    private static final Duration RETENTION = Duration.ofSeconds(30);

    private final TimerService timer;
    private final Consumer<List<PublishedTarget>> onRead;
    private final Runnable onOwnLoadChange;
    private final EvacuationTable evacuations;
    private final List<Runnable> listeners = new CopyOnWriteArrayList<>();
    private volatile PublicationListener publicationListener = (target, before, relisted) -> {};
    private final Map<TargetId, TargetState> states = new HashMap<>();
    private final Map<TargetId, Long> leavingSince = new HashMap<>();
    private final Map<InstanceId, Map<TargetId, TargetState.PeerLoad>> peerLoads = new HashMap<>();
    /** Targets that this instance has read since the list became reachable or was restored. */
    private final Set<TargetId> readHere = new HashSet<>();
    /** Targets that may get new work, by service; replaced whenever the list changes. */
    private volatile Map<ServiceName, List<TargetState>> candidates = Map.of();

    private boolean reachable;
    private long reachableSince;
    /** Newest epoch that this instance has heard of, and since when; targets that are missing are kept for a while. */
    private long epoch;

    private long epochSince;
    /** Epoch of the latest list that this instance has read itself. */
    private long ownEpoch;

    private boolean known;
    private long knownAsOf;

    /** Services all of whose targets are evacuated. */
    private volatile Set<ServiceName> evacuatedServices = Set.of();

    /**
     * Creates an empty directory that follows no evacuations.
     *
     * @param timer clock
     * @param onRead receives the targets that this instance has read, to be passed on
     * @param onOwnLoadChange called whenever the load of this instance at an engine changes
     */
    public TargetDirectory(TimerService timer, Consumer<List<PublishedTarget>> onRead, Runnable onOwnLoadChange) {
        this(timer, onRead, onOwnLoadChange, new EvacuationTable(Optional.empty()));
    }

    /**
     * Creates an empty directory.
     *
     * @param timer clock
     * @param onRead receives the targets that this instance has read, to be passed on
     * @param onOwnLoadChange called whenever the load of this instance at an engine changes
     * @param evacuations failure domains whose targets get no requests
     */
    TargetDirectory(
            TimerService timer,
            Consumer<List<PublishedTarget>> onRead,
            Runnable onOwnLoadChange,
            EvacuationTable evacuations) {
        this.evacuations = Objects.requireNonNull(evacuations, "evacuations");
        this.timer = Objects.requireNonNull(timer, "timer");
        this.onRead = Objects.requireNonNull(onRead, "onRead");
        this.onOwnLoadChange = Objects.requireNonNull(onOwnLoadChange, "onOwnLoadChange");
    }

    /** Receives the published description of a target whenever it changes. */
    @FunctionalInterface
    interface PublicationListener {
        /**
         * Called with the directory locked; must not block.
         *
         * @param target the target as published
         * @param before the target as it was known before; empty if it was not
         * @param relisted whether it was known, but not in the list
         */
        void onPublished(ForwardTarget target, Optional<ForwardTarget> before, boolean relisted);
    }

    /** Sets the listener of published descriptions. */
    void onPublication(PublicationListener listener) {
        publicationListener = Objects.requireNonNull(listener, "listener");
    }

    /** Registers a listener that is called after each change of the targets or of their load. */
    void onChange(Runnable listener) {
        listeners.add(listener);
    }

    private void notifyListeners() {
        listeners.forEach(Runnable::run);
    }

    private void onOwnLoadChanged() {
        onOwnLoadChange.run();
        notifyListeners();
    }

    /** Applies the complete list as this instance has read it. */
    public void applyPublished(PublishedList list) {
        List<TargetState> leaving = new ArrayList<>();
        List<PublishedTarget> read = new ArrayList<>();
        synchronized (this) {
            long now = timer.nanos();
            // Only what the source itself has stated makes its list an old one; a peer may be wrong.
            if (list.revision().epoch() < ownEpoch) {
                LogEvent.of("directory.oldEpoch")
                        .with("revision", list.revision())
                        .with("epoch", ownEpoch)
                        .info(LOG);
                return;
            }
            ownEpoch = list.revision().epoch();
            beginEpoch(list.revision().epoch(), now);
            if (!reachable) {
                reachable = true;
                reachableSince = now;
                readHere.clear();
                LogEvent.of("directory.reachable")
                        .with("targets", list.targets().size())
                        .info(LOG);
            }
            advanceKnownAsOf(now);
            Set<TargetId> listed = new HashSet<>();
            for (PublishedList.Target published : list.targets()) {
                ForwardTarget target = keepLeaving(published.target(), published.revision());
                listed.add(target.id());
                updateTarget(target, published.revision(), now, leaving);
                read.add(
                        states.get(target.id()).isDeparting()
                                ? PublishedTargetCodec.encodeDeparting(target, published.revision())
                                : PublishedTargetCodec.encode(target, published.revision()));
            }
            boolean settled = now - reachableSince >= RETURN_GRACE.toNanos() && isEpochSettled(now);
            for (TargetState state : states.values()) {
                TargetId id = state.target().id();
                boolean missing = !listed.contains(id)
                        && !state.isUnpublished()
                        && list.revision().isAfter(state.revision());
                if (missing && (settled || readHere.contains(id))) {
                    removeTarget(state, list.revision(), now, leaving);
                    read.add(PublishedTargetCodec.encodeRemoval(id, list.revision()));
                }
            }
            readHere.addAll(listed);
            removeExpired(now);
            rebuildCandidates();
        }
        onRead.accept(read);
        notifyLeaving(leaving);
    }

    /** Applies records that other instances have read. */
    void applyUpdates(Collection<PublishedTarget> updates) {
        List<TargetState> leaving = new ArrayList<>();
        List<PublishedTarget> corrections = new ArrayList<>();
        synchronized (this) {
            long now = timer.nanos();
            for (PublishedTarget update : updates) {
                TargetId id = new TargetId(update.getTarget());
                TargetState state = states.get(id);
                SourceRevision revision = PublishedTargetCodec.revision(update);
                beginEpoch(revision.epoch(), now);
                if (revision.epoch() < ownEpoch && isEpochSettled(now)) {
                    continue;
                }
                Optional<ForwardTarget> target = PublishedTargetCodec.decode(update);
                if (target.isPresent()) {
                    ForwardTarget kept = keepLeaving(target.get(), revision);
                    updateTarget(kept, revision, now, leaving);
                    boolean sameRun =
                            kept.startedMs() != 0 || !states.get(id).revision().isAfter(revision);
                    if (PublishedTargetCodec.isDeparting(update) && sameRun) {
                        recordDeparture(kept, now, leaving);
                    } else if (state != null && state.isDeparting() && kept.leaving()) {
                        corrections.add(PublishedTargetCodec.encodeDeparting(kept, revision));
                    }
                } else if (state != null && !state.isUnpublished() && revision.isAfter(state.revision())) {
                    removeTarget(state, revision, now, leaving);
                }
            }
            rebuildCandidates();
        }
        // A peer that passes on a record without the departure does not know of it yet.
        if (!corrections.isEmpty()) {
            onRead.accept(corrections);
        }
        notifyLeaving(leaving);
    }

    private void beginEpoch(long newEpoch, long now) {
        if (newEpoch > epoch) {
            epoch = newEpoch;
            epochSince = now;
            readHere.clear();
            LogEvent.of("directory.newEpoch").with("epoch", epoch).info(LOG);
        }
    }

    private boolean isEpochSettled(long now) {
        return now - epochSince >= RETURN_GRACE.toNanos();
    }

    /**
     * Returns a published target, as leaving if the same run of it is known to leave: its record may be an old one, of
     * the copy that the list was restored from, or that of a target whose record never says so.
     */
    private ForwardTarget keepLeaving(ForwardTarget target, SourceRevision revision) {
        TargetState state = states.get(target.id());
        if (state == null || !state.isLeaving() || !target.isSameRun(state.target())) {
            return target;
        }
        // Without a stated start, a target that comes back may be another run of it.
        boolean sameRun = !state.isUnpublished() || target.startedMs() != 0;
        boolean keep = state.revision().epoch() < revision.epoch() || state.isDeparting() && sameRun;
        return keep ? target.asLeaving() : target;
    }

    /**
     * Takes a target out of the choice that has announced its departure in a response, whatever the published list says
     * of this run of it.
     *
     * @param target the target as it was described when the request was sent
     */
    void onDepartureAnnounced(ForwardTarget target) {
        List<TargetState> leaving = new ArrayList<>();
        PublishedTarget update;
        synchronized (this) {
            if (!recordDeparture(target, timer.nanos(), leaving)) {
                return;
            }
            rebuildCandidates();
            TargetState state = states.get(target.id());
            if (state.isUnpublished()) {
                // The peers know of its removal, which a record of the target would replace for good.
                return;
            }
            update = PublishedTargetCodec.encodeDeparting(state.target(), state.revision());
        }
        onRead.accept(List.of(update));
        notifyLeaving(leaving);
    }

    /** Records the announced departure of a run of a target. Returns whether it is news of the present run. */
    private boolean recordDeparture(ForwardTarget run, long now, List<TargetState> leaving) {
        TargetState state = states.get(run.id());
        if (state == null || state.isDeparting() || !state.target().isSameRun(run)) {
            return false;
        }
        boolean wasLeaving = state.isLeaving();
        state.announceDeparture();
        if (!wasLeaving) {
            markLeaving(state, "announced", now, leaving);
        }
        return true;
    }

    /** Records that all changes up to a read of the given age are known. */
    synchronized void updateAge(Duration age) {
        advanceKnownAsOf(timer.nanos() - age.toNanos());
    }

    private void advanceKnownAsOf(long nanos) {
        if (!known || nanos - knownAsOf > 0) {
            known = true;
            knownAsOf = nanos;
        }
    }

    /**
     * Returns the age of the newest read, by this instance or another, whose results are all known; empty if there was
     * none.
     */
    public synchronized Optional<Duration> age() {
        return known ? Optional.of(Duration.ofNanos(timer.nanos() - knownAsOf)) : Optional.empty();
    }

    private void updateTarget(ForwardTarget target, SourceRevision revision, long now, List<TargetState> leaving) {
        TargetState state = states.get(target.id());
        if (state != null && !isNews(target, revision, state)) {
            return;
        }
        publicationListener.onPublished(
                target, Optional.ofNullable(state).map(TargetState::target), state != null && state.isUnpublished());
        if (state == null) {
            state = new TargetState(target, revision, this::onOwnLoadChanged);
            states.put(target.id(), state);
            applyPeerLoads(state);
            LogEvent.of("target.found")
                    .with("target", target.id())
                    .with("service", target.service())
                    .with("domain", target.failureDomain())
                    .info(LOG);
        }
        boolean wasLeaving = state.isLeaving();
        state.publish(target, revision);
        if (!target.leaving()) {
            leavingSince.remove(target.id());
        } else if (!wasLeaving || !leavingSince.containsKey(target.id())) {
            markLeaving(state, "draining", now, leaving);
        }
    }

    /** Returns whether a record counts: it is later, or has the same revision but keeps a leaving target out. */
    private static boolean isNews(ForwardTarget target, SourceRevision revision, TargetState state) {
        return revision.isAfter(state.revision())
                || revision.equals(state.revision()) && target.leaving() && !state.isLeaving();
    }

    private void removeTarget(TargetState state, SourceRevision revision, long now, List<TargetState> leaving) {
        boolean wasLeaving = state.isLeaving();
        state.unpublish(revision);
        if (state.isDeparting()) {
            // It may have been published for long after its announcement, and is kept from now on like other targets.
            leavingSince.put(state.target().id(), now);
        }
        if (!wasLeaving) {
            markLeaving(state, "withdrawn", now, leaving);
        }
    }

    private void markLeaving(TargetState state, String reason, long now, List<TargetState> leaving) {
        leavingSince.putIfAbsent(state.target().id(), now);
        leaving.add(state);
        LogEvent.of("target.leaving")
                .with("target", state.target().id())
                .with("reason", reason)
                .with("requests", state.ownRequests())
                .info(LOG);
    }

    private void removeExpired(long now) {
        leavingSince.entrySet().removeIf(entry -> {
            TargetState state = states.get(entry.getKey());
            // The published record of a departing target may never say that it leaves.
            boolean kept = state != null && (state.ownRequests() > 0 || state.isDeparting() && !state.isUnpublished());
            boolean expired = now - entry.getValue() > RETENTION.toNanos() && !kept;
            if (expired) {
                states.remove(entry.getKey());
            }
            return expired;
        });
    }

    private void rebuildCandidates() {
        Map<ServiceName, List<TargetState>> next = new HashMap<>();
        Set<ServiceName> evacuated = new HashSet<>();
        for (TargetState state : states.values()) {
            if (isEvacuated(state.target())) {
                evacuated.add(state.target().service());
            } else if (!state.isLeaving() && evacuations.isKnown()) {
                next.computeIfAbsent(state.target().service(), s -> new ArrayList<>())
                        .add(state);
            }
        }
        evacuated.removeAll(next.keySet());
        candidates = next;
        evacuatedServices = evacuated;
    }

    /** Applies changed evacuations, and notifies the requests in flight in the domains whose evacuation has begun. */
    void onEvacuationsChanged(Set<FailureDomain> begun) {
        synchronized (this) {
            rebuildCandidates();
        }
        notifyRequestsIn(begun);
    }

    /** Notifies the requests in flight in some domains, which then check whether to move. */
    void notifyRequestsIn(Set<FailureDomain> domains) {
        List<TargetState> affected;
        synchronized (this) {
            affected = states.values().stream()
                    .filter(state -> domains.contains(state.target().failureDomain()))
                    .toList();
        }
        notifyLeaving(affected);
    }

    /** Returns the targets in the given domains that do not leave. */
    synchronized List<ForwardTarget> targetsIn(Set<FailureDomain> domains) {
        return states.values().stream()
                .filter(state -> !state.isLeaving())
                .map(TargetState::target)
                .filter(target -> domains.contains(target.failureDomain()))
                .toList();
    }

    /** Returns whether a target must get no requests because its failure domain is evacuated. */
    boolean isEvacuated(ForwardTarget target) {
        return evacuations.isEvacuated(target.failureDomain());
    }

    /** Returns whether a service has targets, and each of them that does not leave is evacuated. */
    boolean isEvacuated(ServiceName service) {
        return evacuatedServices.contains(service);
    }

    /**
     * Returns whether a target may be sent an order to copy a generation: one in an evacuated domain only while the
     * order is certain to arrive in time.
     */
    boolean mayOrderCopy(TargetState state) {
        return evacuations.mayOrderCopy(state.target().failureDomain(), timer.nanos());
    }

    /**
     * Returns whether a generation should move away from a target: the target leaves, or its domain is evacuated and
     * the generation does not end soon.
     */
    boolean mustMove(TargetState state, InFlightRequest inFlight) {
        return state.isLeaving()
                || isEvacuated(state.target())
                        && inFlight.isLong()
                        && evacuations.isMoveDue(state.target().failureDomain(), inFlight.requestId(), timer.nanos());
    }

    private void notifyLeaving(List<TargetState> leaving) {
        leaving.forEach(state -> state.inFlightRequests().forEach(InFlightRequest::onTargetLeaving));
        notifyListeners();
    }

    /** Records that the list could not be read. */
    public synchronized void onSourceUnreachable(String reason) {
        if (reachable) {
            reachable = false;
            LogEvent.of("directory.unreachable").with("reason", reason).warn(LOG);
        }
    }

    /** Returns whether the list was read at least once, by this instance or another, and the evacuations are known. */
    public synchronized boolean isKnown() {
        return known && evacuations.isKnown();
    }

    /** Returns the targets of a service that may get new work; the list must not be changed. */
    List<TargetState> candidates(ServiceName service) {
        return candidates.getOrDefault(service, List.of());
    }

    /** Returns the services that have targets that may get new work. */
    Set<ServiceName> services() {
        return candidates.keySet();
    }

    /** Returns how many targets of a service started to leave within the given time. */
    synchronized int leavingCount(ServiceName service, Duration within) {
        long since = timer.nanos() - within.toNanos();
        return (int) leavingSince.entrySet().stream()
                .filter(e -> e.getValue() - since >= 0 && states.containsKey(e.getKey()))
                .filter(e -> states.get(e.getKey()).target().service().equals(service))
                .count();
    }

    /** Returns whether a target must get no new work: it leaves, or its failure domain is evacuated. */
    boolean isLeaving(TargetState state) {
        return state.isLeaving() || isEvacuated(state.target());
    }

    /** Returns how many targets that may get new work have a property. */
    int countCandidates(Predicate<ForwardTarget> property) {
        return (int) candidates.values().stream()
                .flatMap(List::stream)
                .filter(state -> property.test(state.target()))
                .count();
    }

    /** Returns the sum of a number over all targets, those that have left lately included. */
    synchronized int sumOfStates(ToIntFunction<TargetState> value) {
        return states.values().stream().mapToInt(value).sum();
    }

    /** Calls a function with the state of each target, those that have left lately included. */
    synchronized void forEachState(Consumer<TargetState> function) {
        states.values().forEach(function);
    }

    /** Returns the load of this instance at each target, the failures seen there and its speed, for the peers. */
    synchronized List<TargetLoad> ownLoads() {
        long now = timer.nanos();
        List<TargetLoad> loads = new ArrayList<>();
        for (TargetState state : states.values()) {
            int failures = state.outcomes().failures(now);
            SpeedReport speed = state.speed().ownReport(now);
            if (state.ownRequests() > 0 || state.ownTokens() > 0 || failures > 0 || speed.weight() > 0) {
                var load = new TargetLoad(state.target().id().value(), state.ownRequests(), state.ownTokens());
                load.setUnreadTokens(state.unreadTokens());
                if (failures > 0) {
                    load.setFailures(failures).setAnswers(state.outcomes().responses(now));
                }
                if (speed.weight() > 0) {
                    load.setSpeedPermille(speed.permille()).setSpeedWeight(speed.weight());
                }
                loads.add(load);
            }
        }
        return loads;
    }

    /** Replaces the load that another instance has reported for each target. */
    void updatePeerLoads(InstanceId peer, List<TargetLoad> loads) {
        synchronized (this) {
            Map<TargetId, TargetState.PeerLoad> next = new HashMap<>();
            loads.forEach(load -> next.put(
                    new TargetId(load.getTarget()),
                    new TargetState.PeerLoad(
                            load.getRequests(),
                            load.getTokens(),
                            load.getUnreadTokens(),
                            load.getFailures(),
                            load.getAnswers(),
                            speedReport(load))));
            Map<TargetId, TargetState.PeerLoad> previous = Objects.requireNonNullElse(
                    next.isEmpty() ? peerLoads.remove(peer) : peerLoads.put(peer, next), Map.of());
            previous.keySet().stream()
                    .filter(id -> !next.containsKey(id))
                    .forEach(id -> updatePeerLoad(peer, id, TargetState.PeerLoad.NONE));
            next.forEach((id, load) -> updatePeerLoad(peer, id, load));
        }
        notifyListeners();
    }

    private static SpeedReport speedReport(TargetLoad load) {
        return load.isSetSpeedPermille() && load.isSetSpeedWeight()
                ? new SpeedReport(load.getSpeedPermille(), load.getSpeedWeight())
                : SpeedReport.NONE;
    }

    private void updatePeerLoad(InstanceId peer, TargetId target, TargetState.PeerLoad load) {
        TargetState state = states.get(target);
        if (state != null) {
            state.updatePeerLoad(peer, load, timer.nanos());
        }
    }

    private void applyPeerLoads(TargetState state) {
        peerLoads.forEach((peer, loads) -> {
            TargetState.PeerLoad load = loads.get(state.target().id());
            if (load != null) {
                state.updatePeerLoad(peer, load, timer.nanos());
            }
        });
    }

    /** Removes what another instance has reported, after it has gone. */
    void forgetPeer(InstanceId peer) {
        updatePeerLoads(peer, List.of());
    }
}
