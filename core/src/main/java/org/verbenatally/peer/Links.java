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
import org.verbenatally.peer.MemberRecord.Run;
import org.verbenatally.time.TimerService;
import org.verbenatally.wire.Hello;
import org.verbenatally.wire.PeerFrame;

/** The open links of an instance. Decides which peers to dial, when to close a link, and which duplicate to keep. */
final class Links {
    /** Version of the peer protocol; links to instances of another version are refused. */
    static final int PROTOCOL = 2;

    /** In a fleet of up to this size, each member has a link to every other one. */
    static final int FULL_MESH_MEMBERS = 9;

    /**
     * Links that an instance opens in a larger fleet. It accepts about as many, which gives six neighbours. Each record
     * is sent over every link, so a seventh neighbour would cost as much as the first; three random links per instance
     * are enough to keep the fleet connected.
     */
    private static final int DIALLED_NEIGHBOURS = 3;

    /**
     * How many of them lead to other failure domains. Traffic between domains is costly, and updates need few paths.
     */
    private static final int OTHER_DOMAIN_NEIGHBOURS = 1;

    /** An unreachable peer is dialled again after one, two, four, ... up to this many gossip periods. */
    private static final int MAX_BACKOFF_PERIODS = 10;

    /** A calls-only link is closed after it has been idle for this many gossip periods. */
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
    private final Map<Integer, Link> openLinks = new ConcurrentHashMap<>();
    private final AtomicInteger ids = new AtomicInteger();
    private final Map<Address, Backoff> backoffs = new ConcurrentHashMap<>();
    private final Set<Address> hints = ConcurrentHashMap.newKeySet();
    private volatile List<Address> seeds;
    private final Set<Address> ownAddresses = ConcurrentHashMap.newKeySet();
    private final Traffic traffic = new Traffic(new AtomicLong(), new AtomicLong(), new AtomicLong());
    private long nextRenewal;
    private long nextUnconfirmedDial;
    private volatile boolean closing;

    /** Opens connections; tests replace it to simulate network faults. */
    @FunctionalInterface
    interface Dialer {
        Future<NetSocket> connect(Address address);
    }

    /** No dialling before {@code until}, in nanoseconds of the timer service; the wait was this many gossip periods. */
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
        nextUnconfirmedDial = timers.nanos();
    }

    Traffic traffic() {
        return traffic;
    }

    Collection<Link> all() {
        return openLinks.values();
    }

    /** Replaces the addresses listed by the platform. They are only dialled; membership is decided by gossip alone. */
    void setHints(Collection<Address> addresses) {
        hints.retainAll(seeds);
        hints.addAll(addresses);
    }

    /** Replaces the seed addresses, which are dialled first. */
    void setSeeds(List<Address> addresses) {
        hints.removeAll(seeds);
        hints.addAll(addresses);
        seeds = List.copyOf(addresses);
    }

    /** Returns the seeds and the addresses listed by the platform, without those of this instance. */
    List<Address> knownAddresses() {
        List<Address> known = new ArrayList<>(hints);
        known.removeAll(ownAddresses);
        known.remove(membership.ownRecord().address());
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
        openLinks.put(link.id, link);
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

    /** Thrown if no connection could be made, so that no peer has received anything. */
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

    /** Opens a link; the future completes with it once the peer's hello has arrived. */
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
                    link.close("the address belongs to this instance");
                }
                result.complete(link);
            });
        });
        return result;
    }

    private void backOff(Address address) {
        Backoff before = backoffs.get(address);
        int periods = before == null ? 1 : Math.min(MAX_BACKOFF_PERIODS, before.periods() * 2);
        long wait = options.timings().gossipPeriod().toNanos() * periods;
        backoffs.put(address, new Backoff(timers.nanos() + wait, periods));
    }

    private boolean mayDial(Address address) {
        Backoff backoff = backoffs.get(address);
        return backoff == null || timers.nanos() - backoff.until() >= 0;
    }

    /** Handles the hello of a peer and closes the links that become redundant. */
    void onHello(Link link, Hello hello) {
        if (hello.getProtocol() != PROTOCOL || !hello.getDeployment().equals(options.deployment())) {
            throw new IllegalArgumentException("peer uses protocol " + hello.getProtocol() + ", deployment "
                    + hello.getDeployment() + "; expected " + PROTOCOL + ", " + options.deployment());
        }
        Run run = new Run(
                new InstanceId(hello.getInstance()), new org.verbenatally.core.Incarnation(hello.getIncarnation()));
        link.peerCallsOnly = hello.isCallsOnly();
        if (!run.equals(self) && link.carriesGossip()) {
            synchronized (this) {
                for (Link other : List.copyOf(openLinks.values())) {
                    if (other != link && other.isReady() && other.carriesGossip()) {
                        resolveDuplicate(link, run, other);
                    }
                }
            }
        }
        link.hello.complete(run);
    }

    /**
     * Closes one of two links to the same peer. Both sides keep the one that the instance with the lower id opened,
     * unless it is stalled or belongs to an earlier run.
     */
    private void resolveDuplicate(Link link, Run run, Link other) {
        Run otherRun = other.peer();
        if (otherRun == null || !otherRun.instance().equals(run.instance())) {
            return;
        }
        int order = otherRun.incarnation().compareTo(run.incarnation());
        boolean stalled = timers.nanos() - other.lastReceived
                > options.timings().gossipPeriod().multipliedBy(2).toNanos();
        boolean lowerDialled = link.dialled == self.compareTo(run) < 0;
        boolean keepNew = order < 0 || order == 0 && (stalled || lowerDialled && other.dialled != link.dialled);
        Link kept = keepNew ? link : other;
        Link dropped = keepNew ? other : link;
        dropped.close("another link to the same peer is kept");
    }

    void onClosed(Link link) {
        openLinks.remove(link.id);
    }

    /** Returns a usable link to a run: an open one, or else a new calls-only link. */
    CompletableFuture<Link> linkTo(MemberRecord peer) {
        long now = timers.nanos();
        long maxIdleNanos = options.timings().gossipPeriod().multipliedBy(3).toNanos();
        Optional<Link> usable = openLinks.values().stream()
                .filter(l -> l.isReady() && peer.run().equals(l.peer()))
                .filter(l -> now - (l.carriesGossip() ? l.lastReceived : l.lastUsed) < maxIdleNanos)
                .findFirst();
        return usable.map(CompletableFuture::completedFuture).orElseGet(() -> dial(peer.address(), true));
    }

    /** Closes silent and idle links and opens missing ones. */
    void tick() {
        long now = timers.nanos();
        PeerTimings timings = options.timings();
        for (Link link : openLinks.values()) {
            boolean expectsFrames = !link.isReady() || link.carriesGossip() || link.isBusy();
            if (expectsFrames
                    && now - link.lastReceived > timings.linkSilenceTimeout().toNanos()) {
                LOG.infof("peer: link to %s is silent, closing it", link);
                link.close("silent");
            } else if (link.callsOnly
                    && !link.isBusy()
                    && now - link.lastUsed
                            > timings.gossipPeriod().multipliedBy(IDLE_PERIODS).toNanos()) {
                link.close("idle");
            } else if (link.peerCallsOnly
                    && !link.isBusy()
                    && now - link.lastReceived
                            > timings.gossipPeriod()
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
        openLinks.values().stream()
                .filter(l -> l.isReady() && l.carriesGossip())
                .forEach(l -> linked.put(l.peer().instance(), l));
        Map<Address, MemberInfo> missing = new HashMap<>();
        Set<Address> memberAddresses = new HashSet<>(ownAddresses);
        int size = 0;
        for (MemberInfo m : membership.members()) {
            size += m.status() == Status.GONE ? 0 : 1;
            memberAddresses.add(m.address());
            if (!m.instance().equals(self.instance()) && !linked.containsKey(m.instance())) {
                missing.put(m.address(), m);
            }
        }
        List<Address> unconfirmed = new ArrayList<>(hints);
        unconfirmed.addAll(membership.forgottenAddresses());
        unconfirmed.removeAll(memberAddresses);
        missing.values().stream()
                .filter(m -> m.status() == Status.GONE)
                .map(MemberInfo::address)
                .forEach(unconfirmed::add);
        missing.values().removeIf(m -> m.status() == Status.GONE);
        if (size <= FULL_MESH_MEMBERS) {
            missing.keySet().forEach(this::dialIfDue);
            unconfirmed.forEach(this::dialIfDue);
        } else {
            dialNeighbours(now, linked, missing.values());
            dialOneUnconfirmed(now, unconfirmed);
        }
    }

    private void dialIfDue(Address address) {
        if (mayDial(address)) {
            dial(address, false);
        }
    }

    /**
     * In a large fleet, dials one address without a live member per longest backoff period, so that partitions heal.
     */
    private void dialOneUnconfirmed(long now, List<Address> unconfirmed) {
        if (!unconfirmed.isEmpty() && now - nextUnconfirmedDial >= 0) {
            nextUnconfirmedDial = now
                    + options.timings()
                            .gossipPeriod()
                            .multipliedBy(MAX_BACKOFF_PERIODS)
                            .toNanos();
            dialIfDue(unconfirmed.get(random.nextInt(unconfirmed.size())));
        }
    }

    private void dialNeighbours(long now, Map<InstanceId, Link> linked, Collection<MemberInfo> missing) {
        List<Link> dialledLinks =
                new ArrayList<>(linked.values().stream().filter(l -> l.dialled).toList());
        dialledLinks.sort(Comparator.comparingLong(l -> l.openedAt));
        List<Link> inOtherDomain =
                dialledLinks.stream().filter(this::isInOtherDomain).toList();
        List<MemberInfo> candidates = new ArrayList<>(missing);
        ListSampler.shuffle(random, candidates);
        int wantedInOtherDomain = OTHER_DOMAIN_NEIGHBOURS - inOtherDomain.size();
        if (now - nextRenewal >= 0) {
            Duration renewalPeriod = options.timings().neighbourRenewalPeriod().dividedBy(DIALLED_NEIGHBOURS);
            nextRenewal = now + renewalPeriod.toNanos();
            boolean renewInOtherDomain = random.nextInt(DIALLED_NEIGHBOURS) < OTHER_DOMAIN_NEIGHBOURS;
            dialCandidates(candidates, 1, renewInOtherDomain ? 1 : 0);
        } else if (dialledLinks.size() > DIALLED_NEIGHBOURS) {
            Link oldest = wantedInOtherDomain < 0
                    ? inOtherDomain.getFirst()
                    : dialledLinks.stream()
                            .filter(l -> !isInOtherDomain(l))
                            .findFirst()
                            .orElse(dialledLinks.getFirst());
            oldest.close("neighbour renewal");
        } else {
            dialCandidates(candidates, DIALLED_NEIGHBOURS - dialledLinks.size(), wantedInOtherDomain);
        }
    }

    /**
     * Dials members, up to the wanted number from other failure domains and the rest from this one if there are enough.
     */
    private void dialCandidates(List<MemberInfo> candidates, int wanted, int wantedInOtherDomain) {
        List<MemberInfo> inOtherDomain =
                candidates.stream().filter(this::isInOtherDomain).toList();
        int count = Math.min(Math.max(0, wantedInOtherDomain), inOtherDomain.size());
        List<MemberInfo> byPreference = new ArrayList<>(inOtherDomain.subList(0, count));
        candidates.stream().filter(m -> !isInOtherDomain(m)).forEach(byPreference::add);
        byPreference.addAll(inOtherDomain.subList(count, inOtherDomain.size()));
        byPreference.stream()
                .map(MemberInfo::address)
                .filter(this::mayDial)
                .limit(Math.max(0, wanted))
                .forEach(this::dialIfDue);
    }

    private boolean isInOtherDomain(MemberInfo member) {
        return !member.failureDomain().equals(options.failureDomain());
    }

    private boolean isInOtherDomain(Link link) {
        return membership
                .latestRun(link.peer().instance())
                .filter(peer -> !peer.failureDomain().equals(options.failureDomain()))
                .isPresent();
    }

    /** Restarts the silence timeout of all links after a pause of this process. */
    void restartSilenceTimeouts() {
        long now = timers.nanos();
        openLinks.values().forEach(l -> l.lastReceived = now);
    }

    CompletableFuture<Void> close() {
        closing = true;
        openLinks.values().forEach(l -> l.close("this instance is stopping"));
        var closed = new CompletableFuture<Void>();
        server.close().onComplete(r -> closed.complete(null));
        return closed;
    }
}
