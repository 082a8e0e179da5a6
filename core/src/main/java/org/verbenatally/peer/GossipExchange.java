package org.verbenatally.peer;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import org.verbenatally.config.ConfigHolder;
import org.verbenatally.core.InstanceId;
import org.verbenatally.core.TargetId;
import org.verbenatally.time.TimerService;
import org.verbenatally.wire.Gossip;
import org.verbenatally.wire.Member;
import org.verbenatally.wire.PeerFrame;
import org.verbenatally.wire.Suspect;
import org.verbenatally.wire.TargetLoad;

/** Builds the gossip frames of each link and applies what comes in. */
final class GossipExchange {
    /** Most target loads in a frame between any two members of a small fleet. */
    private static final int MAX_LOADS = 4_096;

    /**
     * Most target loads in a frame of a larger fleet. An instance has eight of 330 peers as neighbours, so their loads
     * say little about a target; the busiest targets are enough, and more would not fit the traffic limit.
     */
    private static final int SAMPLED_LOADS = 16;

    /** In a larger fleet loads are sent once in this many gossip periods. */
    private static final int SAMPLED_LOAD_PERIODS = 4;

    /**
     * In a small fleet loads are sent in each gossip frame up to this many targets; with twice as many in every second
     * one, and so on. Eight members with 400 targets in each frame cost 212 KB/s a member (bench-peers, seed 7).
     */
    private static final int LOADS_PER_PERIOD = 24;

    /** Most suspects in one frame; the others follow in the next one. */
    private static final int MAX_SUSPECTS = 256;

    /** Most rows that are asked for in one frame. */
    private static final int MAX_WANTED = 1_024;

    private static final Gossip KEEP_ALIVE = keepAlive();

    private final PeerTimings timings;
    private final Membership membership;
    private final TimerService timers;
    private final ConfigHolder<?> config;
    private final PeerHandler handler;

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
    }

    private static Gossip keepAlive() {
        var gossip = new Gossip(List.of(), List.of(), List.of(), List.of(), 0, ByteBuffer.allocate(0));
        gossip.setMembersOnly(true);
        return gossip;
    }

    /** State of the own process that goes into the frames of one round. */
    private record Own(List<TargetLoad> loads, List<String> leaving, List<Suspect> suspects, int periods) {}

    /**
     * Sends a frame on each link.
     *
     * @param complete whether loads, leaving targets and suspects are sent at once on all links; otherwise they follow
     *     their own period
     */
    void sendRound(Collection<Link> links, boolean complete) {
        boolean mesh = membership.members().size() <= Links.FULL_MESH_MEMBERS;
        Own own = null;
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
                boolean due = complete || timers.nanos() - link.gossip.nextLoads >= 0;
                if (due && own == null) {
                    own = own(mesh);
                }
                send(link, due ? own : null);
            }
        }
    }

    /** Sends changed member rows and the configuration version on all links, for what must not wait for the period. */
    void sendMembers(Collection<Link> links) {
        for (Link link : links) {
            if (link.isReady() && link.carriesGossip()) {
                synchronized (link.gossip) {
                    send(link, null);
                }
            }
        }
    }

    private Own own(boolean mesh) {
        List<TargetLoad> loads = handler.targetLoads();
        int limit = mesh ? MAX_LOADS : SAMPLED_LOADS;
        if (loads.size() > limit) {
            loads = loads.stream()
                    .sorted(Comparator.comparingInt(TargetLoad::getRequests).reversed())
                    .limit(limit)
                    .toList();
        }
        List<String> leaving =
                handler.leavingTargets().stream().map(TargetId::value).toList();
        int periods = mesh ? Math.max(1, Math.ceilDiv(loads.size(), LOADS_PER_PERIOD)) : SAMPLED_LOAD_PERIODS;
        return new Own(loads, leaving, handler.suspects(), periods);
    }

    private void send(Link link, Own own) {
        Link.GossipState state = link.gossip;
        var inForce = config.document();
        long version = inForce.map(d -> d.deployment().version().value()).orElse(0L);
        boolean first = !state.ownRowSent;
        if (first) {
            // Rows are not sent to a new neighbour, which mostly knows them; the beats tell it what it lacks.
            state.sentState = membership.serial();
        }
        var changes = membership.changes(state.sentState, state.sentBeat, version, link.id);
        List<Member> rows = new ArrayList<>(changes.rows().size());
        changes.rows().forEach(r -> rows.add(r.toWire()));
        if (first) {
            rows.add(membership.own().toWire());
        }
        List<Integer> wantedByPeer = List.copyOf(state.wantedByPeer);
        if (!wantedByPeer.isEmpty()) {
            membership.rows(wantedByPeer).forEach(r -> rows.add(r.toWire()));
        }
        Gossip gossip = new Gossip(
                rows,
                own == null ? List.of() : own.loads(),
                own == null ? List.of() : own.leaving(),
                own == null ? List.of() : newSuspects(state, own.suspects()),
                version,
                ByteBuffer.wrap(
                        inForce.map(ConfigHolder.ConfigDocumentInForce::digest).orElse(new byte[0])));
        if (own == null) {
            gossip.setMembersOnly(true);
        }
        if (changes.beats().getRowsSize() > 0) {
            gossip.setBeats(changes.beats());
        }
        List<Integer> unknown = state.unknown.stream().limit(MAX_WANTED).toList();
        if (!unknown.isEmpty()) {
            gossip.setWantedRows(unknown);
        }
        if (link.send(PeerFrame.gossip(gossip))) {
            state.ownRowSent = true;
            state.sentState = changes.serial();
            state.sentBeat = changes.serial();
            state.wantedByPeer.removeAll(wantedByPeer);
            state.unknown.removeAll(unknown);
            if (own != null) {
                // Half a period less, so that a tick that comes a little early does not skip a turn.
                state.nextLoads = timers.nanos()
                        + timings.gossip().multipliedBy(own.periods()).toNanos()
                        - timings.gossip().toNanos() / 2;
                gossip.getSuspects().forEach(s -> state.sentSuspects.put(key(s), stateOf(s)));
            }
        }
    }

    private static List<Suspect> newSuspects(Link.GossipState state, List<Suspect> suspects) {
        if (state.sentSuspects.size() > suspects.size()) {
            Set<Object> kept = suspects.stream().map(GossipExchange::key).collect(Collectors.toSet());
            state.sentSuspects.keySet().retainAll(kept);
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
     * Applies a frame and returns whether it holds news about members that must be passed on at once.
     *
     * @throws IllegalArgumentException if a field is not valid
     */
    boolean receive(Link link, Gossip gossip) {
        if (!link.carriesGossip()) {
            return false;
        }
        boolean urgent =
                membership.merge(gossip.getMembers().stream().map(MemberRow::of).toList(), link.id);
        if (gossip.getBeats() != null) {
            link.gossip.want(membership.apply(gossip.getBeats(), gossip.getConfigVersion(), link.id));
        }
        if (gossip.getWantedRows() != null) {
            link.gossip.wanted(gossip.getWantedRows());
        }
        if (!gossip.isMembersOnly()) {
            receiveState(link, gossip);
        }
        return urgent;
    }

    private void receiveState(Link link, Gossip gossip) {
        InstanceId from = link.peer().instance();
        // Checked before any of it is used, so that a bad name has no effect.
        Set<TargetId> leaving =
                gossip.getLeavingTargets().stream().map(TargetId::new).collect(Collectors.toSet());
        gossip.getTargetLoads().forEach(l -> new TargetId(l.getTarget()));
        handler.onTargetLoads(from, gossip.getTargetLoads());
        if (!leaving.isEmpty() || link.gossip.leavingReceived) {
            link.gossip.leavingReceived = !leaving.isEmpty();
            handler.onLeavingTargets(from, leaving);
        }
        if (!gossip.getSuspects().isEmpty()) {
            handler.onSuspects(from, gossip.getSuspects());
        }
    }
}
