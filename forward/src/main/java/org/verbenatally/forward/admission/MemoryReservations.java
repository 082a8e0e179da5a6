package org.verbenatally.forward.admission;

import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;

import org.verbenatally.core.ServiceName;
import org.verbenatally.time.TimerService;

/** Memory that is reserved for the more urgent generations of each service. Safe for use by several threads. */
public final class MemoryReservations {
    /** Services without a generation for this long are forgotten; the configuration may rename them at any time. */
    private static final Duration RETENTION = Duration.ofMinutes(2);

    private static final class Entry {
        private final OfferedLoad load = new OfferedLoad();
        private volatile long lastArrival;
        private volatile long lastReserve;
        private volatile double reservedTokens;
    }

    private final TimerService timer;
    private final Map<ServiceName, Entry> entries = new ConcurrentHashMap<>();

    /** Creates the reservations of an instance that has not seen any generation. */
    public MemoryReservations(TimerService timer) {
        this.timer = Objects.requireNonNull(timer, "timer");
    }

    /**
     * Records a generation that a caller asks for.
     *
     * @param tokens memory that it is expected to need
     * @param expectedDuration time that it is expected to use an engine, for the first one of its kind
     */
    public void onArrival(
            ServiceName service, RankInService rank, boolean isLong, long tokens, Duration expectedDuration) {
        long now = timer.nanos();
        entries.entrySet().removeIf(e -> now - e.getValue().lastArrival > RETENTION.toNanos());
        entries.compute(service, (name, known) -> {
            Entry entry = known == null ? new Entry() : known;
            entry.lastArrival = now;
            entry.load.onArrival(rank.rank(), isLong, tokens, expectedDuration, now);
            return entry;
        });
    }

    /** Records for how long a generation has used an engine. */
    public void onEnd(ServiceName service, RankInService rank, boolean isLong, Duration duration) {
        Entry entry = entries.get(service);
        if (entry != null) {
            entry.load.onEnd(rank.rank(), isLong, duration);
        }
    }

    /** Returns the memory of each engine of a service to keep free of generations of a rank. */
    public MemoryReserve reserveAgainst(ServiceName service, RankInService rank, OfferedLoad.Pool pool) {
        Entry entry = entries.get(service);
        if (entry == null || !rank.isOutranked()) {
            return MemoryReserve.NONE;
        }
        long now = timer.nanos();
        MemoryReserve reserve = entry.load.reserveAgainst(rank, pool, now);
        entry.lastReserve = now;
        entry.reservedTokens = reserve.total() * pool.engines() * pool.engineTokens();
        return reserve;
    }

    /** Returns the memory that was reserved last in all services, in tokens; none after a minute without a decision. */
    public double reservedTokens() {
        long now = timer.nanos();
        return entries.values().stream()
                .filter(e -> now - e.lastReserve < RETENTION.toNanos() / 2)
                .mapToDouble(e -> e.reservedTokens)
                .sum();
    }
}
