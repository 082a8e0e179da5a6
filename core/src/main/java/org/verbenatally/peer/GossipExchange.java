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
import org.verbenatally.wire.Gossip;
import org.verbenatally.wire.InstanceLoads;
import org.verbenatally.wire.Member;
import org.verbenatally.wire.PeerFrame;
import org.verbenatally.wire.PublishedTarget;
import org.verbenatally.wire.Suspect;

/** Builds the gossip frames of each link and applies what comes in. */
final class GossipExchange {
    /** Most rows of loads, and of published entries, in one frame; the others follow in the next one. */
    private static final int MAX_ROWS = 1_024;

    /** Most rows of loads in a frame of a larger fleet, where each row crosses each link. */
    private static final int MAX_LOADS_OF_LARGE_FLEET = 64;

    /** In a larger fleet suspects and leaving targets are sent once in this many gossip periods. */
    private static final int SAMPLED_STATE_PERIODS = 4;

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
    private final LoadTable loads;
    private final PublishedTable published;

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
        this.loads = new LoadTable(membership.own().run(), timers);
        this.published = new PublishedTable(timers, timings.forget());
    }

    private static Gossip keepAlive() {
        var gossip = new Gossip(List.of(), List.of(), List.of(), List.of(), 0, ByteBuffer.allocate(0));
        gossip.setMembersOnly(true);
        return gossip;
    }

    /** State of the own process that goes into the frames of one round. */
    private record Own(List<String> leaving, List<Suspect> suspects, int periods) {}

    private boolean isMesh() {
        return membership.fleet() <= Links.FULL_MESH_MEMBERS;
    }

    /**
     * Sends a frame on each link whose last one is a period old.
     *
     * @param complete whether leaving targets and suspects are sent at once on all links; otherwise they follow their
     *     own period
     */
    void sendRound(Collection<Link> links, boolean complete) {
        stateLoads();
        boolean mesh = isMesh();
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
                boolean due = complete || timers.nanos() - link.gossip.nextState >= 0;
                if (due && own == null) {
                    own = own(mesh);
                }
                if (due || timers.nanos() - link.gossip.nextFrame >= 0) {
                    send(link, due ? own : null, mesh);
                }
            }
        }
    }

    /** Sends all that changed on all links, for what must not wait for the period. */
    void sendChanges(Collection<Link> links) {
        stateLoads();
        forEachNeighbour(links, link -> send(link, null, isMesh()));
    }

    /** Takes the present load of this instance into the next frames. */
    void stateLoads() {
        loads.state(handler.targetLoads());
    }

    /** Sends a frame on each link that has not been sent all loads and published entries. */
    void sendLoads(Collection<Link> links) {
        boolean mesh = isMesh();
        forEachNeighbour(links, link -> {
            if (loads.hasChanges(link.gossip.sentLoads, link.id)
                    || published.hasChanges(link.gossip.sentPublished, link.id)) {
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

    /** Takes published entries that this instance has read, and returns whether any of them is news. */
    boolean publish(Collection<PublishedTarget> entries) {
        boolean news = false;
        for (PublishedTarget entry : entries) {
            news |= published.put(entry, NewestRows.LOCAL);
        }
        return news;
    }

    /** Counts the loads of those members only that are heard of, and forgets what is long past. */
    void tick() {
        published.tick();
        Map<InstanceId, MemberInfo> members = new HashMap<>();
        membership.members().forEach(m -> members.put(m.instance(), m));
        loads.tick(id -> Optional.ofNullable(members.get(id)), handler::onTargetLoads);
    }

    /** Forgets what a member said that has gone. */
    void forget(InstanceId member) {
        loads.forget(member);
        handler.onGone(member);
    }

    private Own own(boolean mesh) {
        List<String> leaving =
                handler.leavingTargets().stream().map(TargetId::value).toList();
        return new Own(leaving, handler.suspects(), mesh ? 1 : SAMPLED_STATE_PERIODS);
    }

    /** What a link has not been sent of the tables that all instances pass on. */
    private record Spread(NewestRows.Batch<InstanceLoads> loads, NewestRows.Batch<PublishedTarget> published) {
        void sent(Link.GossipState state) {
            state.sentLoads = loads.serial();
            state.sentPublished = published.serial();
        }
    }

    private Spread spread(Link link, boolean mesh) {
        int most = mesh ? MAX_ROWS : MAX_LOADS_OF_LARGE_FLEET;
        return new Spread(
                loads.changes(link.gossip.sentLoads, link.id, most),
                published.changes(link.gossip.sentPublished, link.id, MAX_ROWS));
    }

    private long version() {
        return config.deployment().map(d -> d.version().value()).orElse(0L);
    }

    private Gossip frame(List<Member> rows, Spread spread, Own own, List<Suspect> suspects) {
        Gossip gossip = new Gossip(
                rows,
                spread.loads().values(),
                own == null ? List.of() : own.leaving(),
                suspects,
                version(),
                ByteBuffer.wrap(config.document()
                        .map(ConfigHolder.ConfigDocumentInForce::digest)
                        .orElse(new byte[0])));
        if (own == null) {
            gossip.setMembersOnly(true);
        }
        if (!spread.published().values().isEmpty()) {
            gossip.setPublished(spread.published().values());
        }
        if (spread.published().complete()) {
            handler.publishedAge().ifPresent(age -> gossip.setPublishedAgeMs((int) age.toMillis()));
        }
        return gossip;
    }

    private void send(Link link, Own own, boolean mesh) {
        Link.GossipState state = link.gossip;
        boolean first = !state.ownRowSent;
        if (first) {
            // Rows are not sent to a new neighbour, which mostly knows them; the beats tell it what it lacks.
            state.sentState = membership.serial();
        }
        var changes = membership.changes(state.sentState, state.sentBeat, version(), link.id);
        List<Member> rows = new ArrayList<>(changes.rows().size());
        changes.rows().forEach(r -> rows.add(r.toWire()));
        if (first) {
            rows.add(membership.own().toWire());
        }
        List<Integer> wantedByPeer = List.copyOf(state.wantedByPeer);
        if (!wantedByPeer.isEmpty()) {
            membership.rows(wantedByPeer).forEach(r -> rows.add(r.toWire()));
        }
        Spread spread = spread(link, mesh);
        Gossip gossip = frame(rows, spread, own, own == null ? List.of() : newSuspects(state, own.suspects()));
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
            spread.sent(state);
            // Half a gossip period less, so that a tick that comes a little early does not skip a turn.
            state.nextFrame = timers.nanos()
                    + timings.framePeriod(membership.fleet()).toNanos()
                    - timings.gossip().toNanos() / 2;
            state.wantedByPeer.removeAll(wantedByPeer);
            state.unknown.removeAll(unknown);
            if (own != null) {
                ownSent(state, own, gossip.getSuspects());
            }
        }
    }

    private void ownSent(Link.GossipState state, Own own, List<Suspect> suspects) {
        // Half a period less, so that a tick that comes a little early does not skip a turn.
        state.nextState = timers.nanos()
                + timings.gossip().multipliedBy(own.periods()).toNanos()
                - timings.gossip().toNanos() / 2;
        suspects.forEach(s -> state.sentSuspects.put(key(s), stateOf(s)));
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
     * What a frame brought that must be passed on before the period is over.
     *
     * @param members whether a member leaves, has left or was replaced
     * @param targets whether published entries changed
     * @param loads whether loads changed
     */
    record News(boolean members, boolean targets, boolean loads) {
        private static final News NONE = new News(false, false, false);
    }

    /**
     * Applies a frame and returns its news.
     *
     * @throws IllegalArgumentException if a field is not valid
     */
    News receive(Link link, Gossip gossip) {
        if (!link.carriesGossip()) {
            return News.NONE;
        }
        boolean urgent =
                membership.merge(gossip.getMembers().stream().map(MemberRow::of).toList(), link.id);
        if (gossip.getBeats() != null) {
            link.gossip.want(membership.apply(gossip.getBeats(), gossip.getConfigVersion(), link.id));
        }
        if (gossip.getWantedRows() != null) {
            link.gossip.wanted(gossip.getWantedRows());
        }
        boolean targets = receivePublished(link, gossip);
        boolean changed = loads.receive(gossip.getLoads(), link.id, handler::onTargetLoads);
        if (!gossip.isMembersOnly()) {
            receiveState(link, gossip);
        }
        return new News(urgent, targets, changed);
    }

    private boolean receivePublished(Link link, Gossip gossip) {
        List<PublishedTarget> news = List.of();
        if (gossip.getPublished() != null) {
            // Checked before any of it is used, so that a bad entry has no effect.
            handler.checkPublished(gossip.getPublished());
            news = gossip.getPublished().stream()
                    .filter(entry -> published.put(entry, link.id))
                    .toList();
            handler.onPublished(news);
        }
        if (gossip.isSetPublishedAgeMs()) {
            if (gossip.getPublishedAgeMs() < 0) {
                throw new IllegalArgumentException("age of the published list must not be negative");
            }
            handler.onPublishedAge(Duration.ofMillis(gossip.getPublishedAgeMs()));
        }
        return !news.isEmpty();
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
