package org.verbenatally.forward.relay;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;

import org.verbenatally.core.ConfigVersion;
import org.verbenatally.core.FailureDomain;
import org.verbenatally.core.InstanceId;
import org.verbenatally.core.ServiceName;
import org.verbenatally.peer.MemberInfo;
import org.verbenatally.time.TimerService;

/**
 * Chooses the peers that may serve the requests of this instance. Peers that have declined requests for a service are
 * not asked again for a while. Safe for use by several threads.
 */
public final class RelayPeers {
    /** A peer that reaches the targets of a service again is asked again within this time. */
    static final Duration DECLINE_MEMORY = Duration.ofSeconds(1);
    /** Cost of a peer in another failure domain, in open requests there: traffic between domains is dear. */
    private static final double OTHER_DOMAIN_COST = 4;

    private final TimerService timer;
    private final Supplier<List<MemberInfo>> members;
    private final InstanceId self;
    private final FailureDomain ownDomain;
    private final DoubleSupplier random;
    private final Map<Declined, Long> declinedUntil = new HashMap<>();
    private final Map<InstanceId, Integer> open = new HashMap<>();

    private record Declined(InstanceId peer, ServiceName service) {}

    /**
     * Creates a choice among the members of a fleet.
     *
     * @param timer clock
     * @param members the known instances, this one included
     * @param self this instance
     * @param ownDomain its failure domain
     */
    public RelayPeers(
            TimerService timer, Supplier<List<MemberInfo>> members, InstanceId self, FailureDomain ownDomain) {
        this(timer, members, self, ownDomain, () -> ThreadLocalRandom.current().nextDouble());
    }

    RelayPeers(
            TimerService timer,
            Supplier<List<MemberInfo>> members,
            InstanceId self,
            FailureDomain ownDomain,
            DoubleSupplier random) {
        this.timer = Objects.requireNonNull(timer, "timer");
        this.members = Objects.requireNonNull(members, "members");
        this.self = Objects.requireNonNull(self, "self");
        this.ownDomain = Objects.requireNonNull(ownDomain, "ownDomain");
        this.random = Objects.requireNonNull(random, "random");
    }

    /** Returns whether connections from a host may be those of a peer. */
    public boolean isMember(String host) {
        return members.get().stream()
                .filter(member -> member.status() != MemberInfo.Status.GONE)
                .anyMatch(member -> member.address().host().equals(host));
    }

    /**
     * Returns the live peers that may serve a request, the best one first: near ones with few open requests of this
     * instance.
     *
     * @param service service of the request
     * @param version version of the configuration that this instance has in force; peers with an older one are left out
     */
    public synchronized List<MemberInfo> candidates(ServiceName service, ConfigVersion version) {
        record Costed(MemberInfo member, double cost) {}

        long now = timer.nanos();
        declinedUntil.values().removeIf(until -> now - until >= 0);
        return members.get().stream()
                .filter(member -> member.status() == MemberInfo.Status.LIVE)
                .filter(member -> !member.instance().equals(self))
                .filter(member -> member.configVersion().compareTo(version) >= 0)
                .filter(member -> !declinedUntil.containsKey(new Declined(member.instance(), service)))
                .map(member -> new Costed(member, cost(member)))
                .sorted(Comparator.comparingDouble(Costed::cost))
                .map(Costed::member)
                .toList();
    }

    private double cost(MemberInfo member) {
        return open.getOrDefault(member.instance(), 0)
                + (member.failureDomain().equals(ownDomain) ? 0 : OTHER_DOMAIN_COST)
                + random.getAsDouble();
    }

    /** Records that a peer has declined a request, or could not be reached. */
    public synchronized void onDeclined(InstanceId peer, ServiceName service) {
        declinedUntil.put(new Declined(peer, service), timer.nanos() + DECLINE_MEMORY.toNanos());
    }

    /** Counts a request that is passed on to a peer, until {@link #onEnd}. */
    public synchronized void onStart(InstanceId peer) {
        open.merge(peer, 1, Integer::sum);
    }

    /** Records that a request at a peer has ended. */
    public synchronized void onEnd(InstanceId peer) {
        open.computeIfPresent(peer, (id, count) -> count > 1 ? count - 1 : null);
    }

    /** Returns how many requests of this instance are open at peers. */
    public synchronized int openCount() {
        return open.values().stream().mapToInt(Integer::intValue).sum();
    }
}
