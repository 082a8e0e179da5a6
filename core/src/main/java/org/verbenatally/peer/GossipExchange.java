package org.verbenatally.peer;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import org.verbenatally.config.ConfigHolder;
import org.verbenatally.core.InstanceId;
import org.verbenatally.core.TargetId;
import org.verbenatally.time.TimerService;
import org.verbenatally.wire.DomainEvacuation;
import org.verbenatally.wire.Gossip;
import org.verbenatally.wire.InstanceLoads;
import org.verbenatally.wire.Member;
import org.verbenatally.wire.PeerFrame;
import org.verbenatally.wire.PublishedTarget;
import org.verbenatally.wire.Suspect;
import org.verbenatally.wire.TraitReport;

/** Builds the gossip frames for each link and applies those that are received. */
final class GossipExchange {
    /** Maximum number of load records, and of published targets, in one frame; the rest follow in the next one. */
    private static final int MAX_RECORDS = 1_024;

    /** Maximum number of load records in one frame of a larger fleet, where each record is sent over every link. */
    private static final int MAX_LOADS_IN_LARGE_FLEET = 64;

    /** In a larger fleet, suspects and leaving targets are sent once every this many gossip periods. */
    private static final int LARGE_FLEET_STATE_PERIODS = 4;

    /** Maximum number of trait reports in one frame, each of up to {@link TraitReportTable#MAX_TRAITS} traits. */
    private static final int MAX_TRAIT_REPORTS = 16;

    /** Maximum number of suspects in one frame; the rest follow in the next one. */
    private static final int MAX_SUSPECTS = 256;

    /** Maximum number of member records requested in one frame. */
    private static final int MAX_WANTED_RECORDS = 1_024;

    private static final Gossip KEEP_ALIVE = keepAlive();

    private final PeerTimings timings;
    private final Membership membership;
    private final TimerService timers;
    private final ConfigHolder<?> config;
    private final PeerHandler handler;
    private final LoadTable loads;
    private final PublishedTable published;
    private final TraitReportTable traitReports;
    private final EvacuationRecords evacuations;

    private record SuspectKey(long high, long low) {}

    private record SuspectState(int crashes, int isolatedCrashes, String runningOn) {}

    GossipExchange(
            PeerTimings timings,
            Membership membership,
            TimerService timers,
            ConfigHolder<?> config,
            PeerHandler handler) {
        this.timings = timings;
        this.membership = membership;
        this.timers = timers;
        this.config = config;
        this.handler = handler;
        this.loads = new LoadTable(membership.ownRecord().run(), timers);
        this.published = new PublishedTable(timers, timings.forgetAfter());
        this.traitReports = new TraitReportTable(membership.ownRecord().run(), timers);
        this.evacuations = new EvacuationRecords(timers, timings.forgetAfter());
    }

    private static Gossip keepAlive() {
        var gossip = new Gossip(List.of(), List.of(), List.of(), List.of(), 0, ByteBuffer.allocate(0));
        gossip.setMembersOnly(true);
        return gossip;
    }

    /** State of this instance to be sent in one round, and the number of gossip periods until it is due again. */
    private record OwnState(List<String> leaving, List<Suspect> suspects, int periods) {}

    private boolean isMesh() {
        return membership.fleetSize() <= Links.FULL_MESH_MEMBERS;
    }

    /**
     * Sends a frame on each link on which one is due.
     *
     * @param includeState whether to send a frame with leaving targets and suspects on every link now; otherwise they
     *     are sent at their own period
     */
    void sendRound(Collection<Link> links, boolean includeState) {
        refreshLoads();
        boolean mesh = isMesh();
        OwnState own = null;
        for (Link link : links) {
            if (!link.isReady()) {
                continue;
            }
            if (!link.carriesGossip()) {
                if (link.isBusy()) {
                    link.send(PeerFrame.gossip(KEEP_ALIVE));
                }
                continue;
            }
            synchronized (link.gossip) {
                boolean due = includeState || timers.nanos() - link.gossip.nextStateTime >= 0;
                if (due && own == null) {
                    own = ownState(mesh);
                }
                if (due || timers.nanos() - link.gossip.nextFrameTime >= 0) {
                    send(link, due ? own : null, mesh);
                }
            }
        }
    }

    /** Sends all pending changes on all links at once, without waiting for the next period. */
    void sendChanges(Collection<Link> links) {
        refreshLoads();
        forEachNeighbour(links, link -> send(link, null, isMesh()));
    }

    /** Updates the load table with the current load of this instance, which the next frames report. */
    void refreshLoads() {
        loads.reportOwn(handler.ownLoads());
    }

    /** Sends a frame on each link whose peer lacks records of a replicated table. */
    void sendTableChanges(Collection<Link> links) {
        boolean mesh = isMesh();
        forEachNeighbour(links, link -> {
            if (loads.hasChanges(link.gossip.sentLoadsSerial, link.id)
                    || published.hasChanges(link.gossip.sentPublishedSerial, link.id)
                    || traitReports.hasChanges(link.gossip.sentTraitReportsSerial, link.id)
                    || evacuations.hasChanges(link.gossip.sentEvacuationsSerial, link.id)) {
                send(link, null, mesh);
            }
        });
    }

    private static void forEachNeighbour(Collection<Link> links, Consumer<Link> action) {
        for (Link link : links) {
            if (link.isReady() && link.carriesGossip()) {
                synchronized (link.gossip) {
                    action.accept(link);
                }
            }
        }
    }

    /** Stores published targets that this instance has read, and returns whether any of them changed. */
    boolean publish(Collection<PublishedTarget> targets) {
        boolean changed = false;
        for (PublishedTarget target : targets) {
            changed |= published.put(target, ReplicatedTable.LOCAL);
        }
        return changed;
    }

    /** Stores evacuations that this instance has read, and returns whether any of them changed. */
    boolean publishEvacuations(Collection<DomainEvacuation> read) {
        boolean changed = false;
        for (DomainEvacuation evacuation : read) {
            changed |= evacuations.put(evacuation, ReplicatedTable.LOCAL);
        }
        return changed;
    }

    /** Stores a report of this instance on the traits of requests. */
    void report(TraitReport report) {
        traitReports.addOwn(report);
    }

    /** Excludes the loads of unresponsive members and removes expired records from the tables. */
    void tick() {
        published.tick();
        evacuations.tick();
        traitReports.tick();
        Map<InstanceId, MemberInfo> members = new HashMap<>();
        membership.members().forEach(m -> members.put(m.instance(), m));
        loads.tick(id -> Optional.ofNullable(members.get(id)), handler::onTargetLoads);
    }

    /** Discards the state reported by a member that is gone. */
    void forget(InstanceId member) {
        loads.forget(member);
        handler.onPeerGone(member);
    }

    private OwnState ownState(boolean mesh) {
        List<String> leaving =
                handler.leavingTargets().stream().map(TargetId::value).toList();
        return new OwnState(leaving, handler.suspects(), mesh ? 1 : LARGE_FLEET_STATE_PERIODS);
    }

    /** Records of the replicated tables that have not been sent on a link yet. */
    private record TableChanges(
            ReplicatedTable.Batch<InstanceLoads> loads,
            ReplicatedTable.Batch<PublishedTarget> published,
            ReplicatedTable.Batch<TraitReport> traitReports,
            ReplicatedTable.Batch<DomainEvacuation> evacuations) {
        void markSent(Link.GossipState state) {
            state.sentLoadsSerial = loads.serial();
            state.sentPublishedSerial = published.serial();
            state.sentTraitReportsSerial = traitReports.serial();
            state.sentEvacuationsSerial = evacuations.serial();
        }
    }

    private TableChanges tableChanges(Link link, boolean mesh) {
        int maxLoads = mesh ? MAX_RECORDS : MAX_LOADS_IN_LARGE_FLEET;
        return new TableChanges(
                loads.changes(link.gossip.sentLoadsSerial, link.id, maxLoads),
                published.changes(link.gossip.sentPublishedSerial, link.id, MAX_RECORDS),
                traitReports.changes(link.gossip.sentTraitReportsSerial, link.id, MAX_TRAIT_REPORTS),
                evacuations.changes(link.gossip.sentEvacuationsSerial, link.id, EvacuationRecords.MAX_DOMAINS));
    }

    private long version() {
        return config.deployment().map(d -> d.version().value()).orElse(0L);
    }

    private Gossip frame(
            List<Member> records,
            TableChanges tables,
            Optional<Duration> publishedAge,
            OwnState own,
            List<Suspect> suspects) {
        Gossip gossip = new Gossip(
                records,
                tables.loads().values(),
                own == null ? List.of() : own.leaving(),
                suspects,
                version(),
                ByteBuffer.wrap(config.document()
                        .map(ConfigHolder.ConfigDocumentInForce::digest)
                        .orElse(new byte[0])));
        if (own == null) {
            gossip.setMembersOnly(true);
        }
        if (!tables.published().values().isEmpty()) {
            gossip.setPublished(tables.published().values());
        }
        if (!tables.traitReports().values().isEmpty()) {
            gossip.setTraitReports(tables.traitReports().values());
        }
        if (!tables.evacuations().values().isEmpty()) {
            gossip.setEvacuations(tables.evacuations().values());
        }
        // The receiver takes the age as a sign that it has been sent all evacuations as well.
        if (tables.published().complete() && tables.evacuations().complete()) {
            publishedAge.ifPresent(age -> gossip.setPublishedAgeMs((int) age.toMillis()));
        }
        return gossip;
    }

    private void send(Link link, OwnState own, boolean mesh) {
        Link.GossipState state = link.gossip;
        boolean isFirst = !state.ownRecordSent;
        if (isFirst) {
            // Records are not sent to a new neighbour, which knows most of them; it requests those that it lacks once
            // it has received their heartbeats.
            state.sentStateSerial = membership.serial();
        }
        var changes = membership.changes(state.sentStateSerial, state.sentHeartbeatSerial, version(), link.id);
        List<Member> records = new ArrayList<>(changes.records().size());
        changes.records().forEach(r -> records.add(r.toWire()));
        if (isFirst) {
            records.add(membership.ownRecord().toWire());
        }
        List<Integer> wantedByPeer = List.copyOf(state.wantedByPeer);
        if (!wantedByPeer.isEmpty()) {
            membership.recordsFor(wantedByPeer).forEach(r -> records.add(r.toWire()));
        }
        // Taken before the changes, which then hold all that was known at that time.
        Optional<Duration> publishedAge = handler.publishedAge();
        TableChanges tables = tableChanges(link, mesh);
        Gossip gossip = frame(
                records, tables, publishedAge, own, own == null ? List.of() : unsentSuspects(state, own.suspects()));
        if (changes.heartbeats().getRowsSize() > 0) {
            gossip.setBeats(changes.heartbeats());
        }
        List<Integer> unknownHashes =
                state.unknownHashes.stream().limit(MAX_WANTED_RECORDS).toList();
        if (!unknownHashes.isEmpty()) {
            gossip.setWantedRows(unknownHashes);
        }
        if (link.send(PeerFrame.gossip(gossip))) {
            state.ownRecordSent = true;
            state.sentStateSerial = changes.serial();
            state.sentHeartbeatSerial = changes.serial();
            tables.markSent(state);
            // Half a gossip period less, so that a slightly early tick does not skip a frame.
            state.nextFrameTime = timers.nanos()
                    + timings.framePeriod(membership.fleetSize()).toNanos()
                    - timings.gossipPeriod().toNanos() / 2;
            state.wantedByPeer.removeAll(wantedByPeer);
            state.unknownHashes.removeAll(unknownHashes);
            if (own != null) {
                markStateSent(state, own, gossip.getSuspects());
            }
        }
    }

    private void markStateSent(Link.GossipState state, OwnState own, List<Suspect> suspects) {
        // Half a gossip period less, so that a slightly early tick does not skip a round.
        state.nextStateTime = timers.nanos()
                + timings.gossipPeriod().multipliedBy(own.periods()).toNanos()
                - timings.gossipPeriod().toNanos() / 2;
        suspects.forEach(s -> state.sentSuspects.put(key(s), stateOf(s)));
    }

    private static List<Suspect> unsentSuspects(Link.GossipState state, List<Suspect> suspects) {
        if (state.sentSuspects.size() > suspects.size()) {
            Set<Object> current = suspects.stream().map(GossipExchange::key).collect(Collectors.toSet());
            state.sentSuspects.keySet().retainAll(current);
        }
        return suspects.stream()
                .filter(s -> !stateOf(s).equals(state.sentSuspects.get(key(s))))
                .limit(MAX_SUSPECTS)
                .toList();
    }

    private static Object key(Suspect s) {
        return new SuspectKey(s.getFingerprintHigh(), s.getFingerprintLow());
    }

    private static Object stateOf(Suspect s) {
        return new SuspectState(s.getCrashes(), s.getIsolatedCrashes(), s.getRunningOn());
    }

    /**
     * Which tables a frame changed in a way that must be passed on before the next period.
     *
     * @param members whether a member is leaving, has left or was replaced
     * @param targets whether published targets or evacuations changed or reports on the traits of requests arrived
     * @param loads whether loads changed
     */
    record Updates(boolean members, boolean targets, boolean loads) {
        private static final Updates NONE = new Updates(false, false, false);
    }

    /**
     * Applies a frame and returns what it changed.
     *
     * @throws IllegalArgumentException if a field is invalid
     */
    Updates receive(Link link, Gossip gossip) {
        if (!link.carriesGossip()) {
            return Updates.NONE;
        }
        boolean membersChanged = membership.merge(
                gossip.getMembers().stream().map(MemberRecord::of).toList(), link.id);
        if (gossip.getBeats() != null) {
            link.gossip.addUnknown(membership.applyHeartbeats(gossip.getBeats(), gossip.getConfigVersion(), link.id));
        }
        if (gossip.getWantedRows() != null) {
            link.gossip.addWantedByPeer(gossip.getWantedRows());
        }
        // Before the published targets, so that none of an evacuated domain gets work meanwhile.
        boolean evacuationsChanged = receiveEvacuations(link, gossip);
        boolean targetsChanged =
                evacuationsChanged | receivePublished(link, gossip) | receiveTraitReports(link, gossip);
        boolean loadsChanged = loads.receive(gossip.getLoads(), link.id, handler::onTargetLoads);
        if (!gossip.isMembersOnly()) {
            receiveState(link, gossip);
        }
        return new Updates(membersChanged, targetsChanged, loadsChanged);
    }

    private boolean receivePublished(Link link, Gossip gossip) {
        List<PublishedTarget> updates = List.of();
        if (gossip.getPublished() != null) {
            // All are checked before any is stored, so that a frame with an invalid one changes no published target.
            handler.validatePublished(gossip.getPublished());
            updates = gossip.getPublished().stream()
                    .map(published::withEpoch)
                    .filter(target -> published.put(target, link.id))
                    .toList();
            handler.onPublished(updates);
        }
        if (gossip.isSetPublishedAgeMs()) {
            if (gossip.getPublishedAgeMs() < 0) {
                throw new IllegalArgumentException("age of the published list must not be negative");
            }
            handler.onPublishedAge(Duration.ofMillis(gossip.getPublishedAgeMs()));
        }
        return !updates.isEmpty();
    }

    private boolean receiveEvacuations(Link link, Gossip gossip) {
        if (gossip.getEvacuations() == null) {
            return false;
        }
        List<DomainEvacuation> changed = evacuations.receive(
                gossip.getEvacuations(), link.peer().instance().value(), link.id);
        if (!changed.isEmpty()) {
            handler.onEvacuations(changed);
        }
        return !changed.isEmpty();
    }

    private boolean receiveTraitReports(Link link, Gossip gossip) {
        if (gossip.getTraitReports() == null) {
            return false;
        }
        List<TraitReport> added = traitReports.receive(gossip.getTraitReports(), link.id);
        handler.onTraitReports(added);
        return !added.isEmpty();
    }

    private void receiveState(Link link, Gossip gossip) {
        InstanceId from = link.peer().instance();
        Set<TargetId> leaving =
                gossip.getLeavingTargets().stream().map(TargetId::new).collect(Collectors.toSet());
        if (!leaving.isEmpty() || link.gossip.leavingReceived) {
            link.gossip.leavingReceived = !leaving.isEmpty();
            handler.onLeavingTargets(from, leaving);
        }
        if (!gossip.getSuspects().isEmpty()) {
            handler.onSuspects(from, gossip.getSuspects());
        }
    }
}
