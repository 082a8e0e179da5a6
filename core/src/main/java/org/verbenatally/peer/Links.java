package org.verbenatally.peer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import io.vertx.core.Future;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.ListSampler;
import org.apache.commons.rng.simple.RandomSource;
import org.jboss.logging.Logger;
import org.verbenatally.core.Address;
import org.verbenatally.core.InstanceId;
import org.verbenatally.peer.Link.Traffic;
import org.verbenatally.peer.MemberInfo.Status;
import org.verbenatally.peer.MemberRow.Run;
import org.verbenatally.time.TimerService;
import org.verbenatally.wire.Hello;
import org.verbenatally.wire.PeerFrame;

/** The open links of an instance: whom to connect to, when to close, and which of two links to one peer to keep. */
final class Links {
    /** Version of the peer protocol; instances of another one are refused. */
    static final int PROTOCOL = 2;

    /** A fleet of up to this size has a link between any two members. */
    static final int FULL_MESH_MEMBERS = 9;

    /**
     * Links that an instance opens in a larger fleet; it accepts about as many, which gives six neighbours. Each row
     * crosses each link, so that a seventh one costs as much as the first; three random ones keep a fleet connected.
     */
    private static final int DIALLED_NEIGHBOURS = 3;

    /** As many of them are in other failure domains; traffic between these is dear, and news needs few ways there. */
    private static final int FAR_NEIGHBOURS = 1;

    /** A peer that cannot be reached is tried again after one, two, four, ... up to this many gossip periods. */
    private static final int MAX_BACKOFF_PERIODS = 10;

    /** A calls-only link that was idle for this many gossip periods is not used again but replaced. */
    private static final int IDLE_PERIODS = 10;

    private static final Logger LOG = Logger.getLogger(Links.class);

    private final PeerOptions options;
    private final Run self;
    private final Membership membership;
    private final TimerService timers;
    private final Link.Listener listener;
    private final Dialer dialer;
    private final NetServer server;
    private final UniformRandomProvider random;
    private final Map<Integer, Link> open = new ConcurrentHashMap<>();
    private final AtomicInteger ids = new AtomicInteger();
    private final Map<Address, Backoff> backoffs = new ConcurrentHashMap<>();
    private final Set<Address> hints = ConcurrentHashMap.newKeySet();
    private volatile List<Address> seeds;
    private final Set<Address> ownAddresses = ConcurrentHashMap.newKeySet();
    private final Traffic traffic = new Traffic(new AtomicLong(), new AtomicLong(), new AtomicLong());
    private long nextRenewal;
    private long nextFarDial;
    private volatile boolean closing;

    /** Opens connections; tests put a faulty network in its place. */
    @FunctionalInterface
    interface Dialer {
        Future<NetSocket> connect(Address address);
    }

    private record Backoff(long until, int periods) {}

    Links(
            PeerOptions options,
            Run self,
            Membership membership,
            TimerService timers,
            Dialer dialer,
            NetServer server,
            Link.Listener listener) {
        this.options = options;
        this.self = self;
        this.membership = membership;
        this.timers = timers;
        this.server = server;
        this.listener = listener;
        this.dialer = dialer;
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(
                options.seed() ^ options.instance().hashCode());
        seeds = options.seeds();
        hints.addAll(seeds);
        nextRenewal = timers.nanos();
        nextFarDial = timers.nanos();
    }

    Traffic traffic() {
        return traffic;
    }

    Collection<Link> all() {
        return open.values();
    }

    /** Takes addresses that the platform lists. They are only tried; what gossip reports counts. */
    void hint(Collection<Address> addresses) {
        hints.retainAll(seeds);
        hints.addAll(addresses);
    }

    /** Replaces the addresses to try first. */
    void seeds(List<Address> addresses) {
        hints.removeAll(seeds);
        hints.addAll(addresses);
        seeds = List.copyOf(addresses);
    }

    /** Returns the addresses that a starting instance asks, without its own. */
    List<Address> known() {
        List<Address> known = new ArrayList<>(hints);
        known.removeAll(ownAddresses);
        known.remove(membership.own().address());
        return known;
    }

    void accept(NetSocket socket) {
        if (closing) {
            socket.close();
            return;
        }
        open(socket, false, false);
    }

    private Link open(NetSocket socket, boolean dialled, boolean callsOnly) {
        Link link = new Link(ids.incrementAndGet(), socket, dialled, callsOnly, timers.nanos(), listener, traffic);
        open.put(link.id, link);
        link.start();
        var hello = new Hello(
                PROTOCOL,
                self.instance().value(),
                self.incarnation().value(),
                options.failureDomain().value(),
                options.deployment());
        if (callsOnly) {
            hello.setCallsOnly(true);
        }
        link.send(PeerFrame.hello(hello));
        return link;
    }

    /** No connection to an address could be made, so that nobody has read anything. */
    private static final class UnreachableException extends Link.LinkClosedException {
        private static final long serialVersionUID = 1;

        UnreachableException(Throwable cause) {
            super("cannot connect: " + cause.getMessage());
        }
    }

    /** Returns whether {@link #dial} failed because no connection could be made. */
    static boolean isUnreachable(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof UnreachableException;
    }

    /** Opens a link; the future completes after the peer's hello. */
    CompletableFuture<Link> dial(Address address, boolean callsOnly) {
        var result = new CompletableFuture<Link>();
        if (closing) {
            result.completeExceptionally(new Link.LinkClosedException("this instance is closing its links"));
            return result;
        }
        backOff(address);
        dialer.connect(address).onComplete(socket -> {
            if (socket.failed()) {
                result.completeExceptionally(new UnreachableException(socket.cause()));
                return;
            }
            Link link = open(socket.result(), true, callsOnly);
            link.hello.whenComplete((run, e) -> {
                if (e != null) {
                    result.completeExceptionally(e);
                    return;
                }
                backoffs.remove(address);
                if (run.equals(self)) {
                    ownAddresses.add(address);
                    link.close("this is the own address");
                }
                result.complete(link);
            });
        });
        return result;
    }

    private void backOff(Address address) {
        Backoff before = backoffs.get(address);
        int periods = before == null ? 1 : Math.min(MAX_BACKOFF_PERIODS, before.periods() * 2);
        long wait = options.timings().gossip().toNanos() * periods;
        backoffs.put(address, new Backoff(timers.nanos() + wait, periods));
    }

    private boolean mayDial(Address address) {
        Backoff backoff = backoffs.get(address);
        return backoff == null || timers.nanos() - backoff.until() >= 0;
    }

    /** Takes the hello of a peer; closes what it makes superfluous. */
    void onHello(Link link, Hello hello) {
        if (hello.getProtocol() != PROTOCOL || !hello.getDeployment().equals(options.deployment())) {
            throw new IllegalArgumentException("hello of protocol " + hello.getProtocol() + ", deployment "
                    + hello.getDeployment() + "; expected " + PROTOCOL + ", " + options.deployment());
        }
        Run run = new Run(
                new InstanceId(hello.getInstance()), new org.verbenatally.core.Incarnation(hello.getIncarnation()));
        link.peerCallsOnly = hello.isCallsOnly();
        if (!run.equals(self) && link.carriesGossip()) {
            synchronized (this) {
                for (Link other : List.copyOf(open.values())) {
                    if (other != link && other.isReady() && other.carriesGossip()) {
                        resolveDuplicate(link, run, other);
                    }
                }
            }
        }
        link.hello.complete(run);
    }

    /** Keeps one of two links to a peer. Both sides decide alike: the link that the lower id opened stays. */
    private void resolveDuplicate(Link link, Run run, Link other) {
        Run before = other.peer();
        if (before == null || !before.instance().equals(run.instance())) {
            return;
        }
        int order = before.incarnation().compareTo(run.incarnation());
        boolean stalled = timers.nanos() - other.lastReceived
                > options.timings().gossip().multipliedBy(2).toNanos();
        boolean lowerDialled = link.dialled == self.compareTo(run) < 0;
        boolean keepNew = order < 0 || order == 0 && (stalled || lowerDialled && other.dialled != link.dialled);
        Link kept = keepNew ? link : other;
        Link dropped = keepNew ? other : link;
        dropped.close("another link to the same peer is kept");
    }

    void onClosed(Link link) {
        open.remove(link.id);
    }

    /** Returns a usable link to a run: a neighbour's or a new one for calls only. */
    CompletableFuture<Link> linkTo(MemberRow peer) {
        long now = timers.nanos();
        long fresh = options.timings().gossip().multipliedBy(3).toNanos();
        Optional<Link> usable = open.values().stream()
                .filter(l -> l.isReady() && peer.run().equals(l.peer()))
                .filter(l -> now - (l.carriesGossip() ? l.lastReceived : l.lastUsed) < fresh)
                .findFirst();
        return usable.map(CompletableFuture::completedFuture).orElseGet(() -> dial(peer.address(), true));
    }

    /** Closes silent links and opens missing ones. */
    void tick() {
        long now = timers.nanos();
        PeerTimings t = options.timings();
        for (Link link : open.values()) {
            boolean expectsFrames = !link.isReady() || link.carriesGossip() || link.isBusy();
            if (expectsFrames && now - link.lastReceived > t.linkSilence().toNanos()) {
                LOG.infof("peer: link to %s is silent, closing it", link);
                link.close("silent");
            } else if (link.callsOnly
                    && !link.isBusy()
                    && now - link.lastUsed
                            > t.gossip().multipliedBy(IDLE_PERIODS).toNanos()) {
                link.close("idle");
            } else if (link.peerCallsOnly
                    && !link.isBusy()
                    && now - link.lastReceived
                            > t.gossip()
                                    .multipliedBy(IDLE_PERIODS * IDLE_PERIODS)
                                    .toNanos()) {
                link.close("idle");
            }
        }
        if (!closing) {
            dialMissing(now);
        }
    }

    private void dialMissing(long now) {
        Map<InstanceId, Link> linked = new HashMap<>();
        open.values().stream()
                .filter(l -> l.isReady() && l.carriesGossip())
                .forEach(l -> linked.put(l.peer().instance(), l));
        Map<Address, MemberInfo> missing = new HashMap<>();
        Set<Address> covered = new HashSet<>(ownAddresses);
        int size = 0;
        for (MemberInfo m : membership.members()) {
            size += m.status() == Status.GONE ? 0 : 1;
            covered.add(m.address());
            if (!m.instance().equals(self.instance()) && !linked.containsKey(m.instance())) {
                missing.put(m.address(), m);
            }
        }
        List<Address> far = new ArrayList<>(hints);
        far.addAll(membership.forgotten());
        far.removeAll(covered);
        missing.values().stream()
                .filter(m -> m.status() == Status.GONE)
                .map(MemberInfo::address)
                .forEach(far::add);
        missing.values().removeIf(m -> m.status() == Status.GONE);
        if (size <= FULL_MESH_MEMBERS) {
            missing.keySet().forEach(this::dialIfDue);
            far.forEach(this::dialIfDue);
        } else {
            dialNeighbours(now, linked, missing.values());
            dialOneFar(now, far);
        }
    }

    private void dialIfDue(Address address) {
        if (mayDial(address)) {
            dial(address, false);
        }
    }

    /** In a large fleet one unreachable address is tried in each backoff period, so that partitions heal. */
    private void dialOneFar(long now, List<Address> far) {
        if (!far.isEmpty() && now - nextFarDial >= 0) {
            nextFarDial = now
                    + options.timings()
                            .gossip()
                            .multipliedBy(MAX_BACKOFF_PERIODS)
                            .toNanos();
            dialIfDue(far.get(random.nextInt(far.size())));
        }
    }

    private void dialNeighbours(long now, Map<InstanceId, Link> linked, Collection<MemberInfo> missing) {
        List<Link> own =
                new ArrayList<>(linked.values().stream().filter(l -> l.dialled).toList());
        own.sort(Comparator.comparingLong(l -> l.opened));
        List<Link> far = own.stream().filter(this::isFar).toList();
        List<MemberInfo> candidates = new ArrayList<>(missing);
        ListSampler.shuffle(random, candidates);
        int wantedFar = FAR_NEIGHBOURS - far.size();
        if (now - nextRenewal >= 0) {
            Duration share = options.timings().neighbourRenewal().dividedBy(DIALLED_NEIGHBOURS);
            nextRenewal = now + share.toNanos();
            boolean renewFar = random.nextInt(DIALLED_NEIGHBOURS) < FAR_NEIGHBOURS;
            dialSome(candidates, 1, renewFar ? 1 : 0);
        } else if (own.size() > DIALLED_NEIGHBOURS) {
            Link oldest = wantedFar < 0
                    ? far.getFirst()
                    : own.stream().filter(l -> !isFar(l)).findFirst().orElse(own.getFirst());
            oldest.close("neighbour renewal");
        } else {
            dialSome(candidates, DIALLED_NEIGHBOURS - own.size(), wantedFar);
        }
    }

    /** Dials members, as many of other failure domains as stated if there are, the rest as near as possible. */
    private void dialSome(List<MemberInfo> candidates, int wanted, int wantedFar) {
        List<MemberInfo> far = candidates.stream().filter(this::isFar).toList();
        int first = Math.min(Math.max(0, wantedFar), far.size());
        List<MemberInfo> order = new ArrayList<>(far.subList(0, first));
        candidates.stream().filter(m -> !isFar(m)).forEach(order::add);
        order.addAll(far.subList(first, far.size()));
        order.stream()
                .map(MemberInfo::address)
                .filter(this::mayDial)
                .limit(Math.max(0, wanted))
                .forEach(this::dialIfDue);
    }

    private boolean isFar(MemberInfo member) {
        return !member.failureDomain().equals(options.failureDomain());
    }

    private boolean isFar(Link link) {
        return membership
                .current(link.peer().instance())
                .filter(row -> !row.failureDomain().equals(options.failureDomain()))
                .isPresent();
    }

    /** Restarts the silence timeout of all links, after a pause of this process. */
    void forgiveSilence() {
        long now = timers.nanos();
        open.values().forEach(l -> l.lastReceived = now);
    }

    CompletableFuture<Void> close() {
        closing = true;
        open.values().forEach(l -> l.close("this instance is stopping"));
        var closed = new CompletableFuture<Void>();
        server.close().onComplete(r -> closed.complete(null));
        return closed;
    }
}
