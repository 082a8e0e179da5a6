package org.verbenatally.forward.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import org.verbenatally.core.OrganisationId;

/**
 * Order in which the waiting generations of one service start: those that can still be on time before the others, then
 * by rank, then between organisations by deficit round robin over expected tokens, then by the latest start that is on
 * time. After a number of starts out of turn, the one that has waited longest is next, so that no rank, organisation or
 * size is starved. Not safe for use by several threads.
 *
 * <p>An organisation that has started more than its turns allowed keeps that debt for some seconds after its last
 * generation has started, since the queue of a single instance is mostly short or empty.
 *
 * @param <T> type of the waiting values
 */
public final class StartOrder<T> {
    /** Tokens that an organisation may start in each turn; less than a typical prompt, so that sizes count. */
    static final long QUANTUM_TOKENS = 1_000;
    /** Starts that may pass over the longest waiting generation, so that it gets at least one of eight. */
    static final int MAX_PASSED = 7;
    /** Time in which half of an organisation's debt is forgiven: the duration of a usual generation. */
    private static final Duration DEBT_HALF_LIFE = Duration.ofSeconds(5);
    /** Debt in tokens below which nothing is remembered of an organisation that does not wait. */
    private static final double NEGLIGIBLE_DEBT = 1;

    /**
     * A waiting generation.
     *
     * @param value the waiting value
     * @param rank rank in the queue, 0 first
     * @param organisation organisation of its caller; all without one share a turn
     * @param tokens tokens that it is expected to read and generate
     * @param latestStart monotonic time up to which a start is on time, in nanoseconds
     * @param arrival arrival number, in ascending order
     */
    public record Entry<T>(
            T value, int rank, Optional<OrganisationId> organisation, long tokens, long latestStart, long arrival) {
        /** Checks that the organisation is not {@code null}. */
        public Entry {
            Objects.requireNonNull(organisation, "organisation");
        }
    }

    /** Turns of one organisation. */
    private static final class Account {
        /** Tokens that it may start without another turn; negative if it has started more. */
        private double deficit;

        private long asOf;
        private long lastStart = -1;

        private double deficit(long now) {
            return deficit >= 0 ? deficit : deficit * Math.pow(0.5, (double) (now - asOf) / DEBT_HALF_LIFE.toNanos());
        }

        private void set(double value, long now) {
            deficit = value;
            asOf = now;
        }
    }

    private final List<Entry<T>> entries = new ArrayList<>();
    private final Map<Optional<OrganisationId>, Account> accounts = new HashMap<>();
    private long arrivals;
    private long starts;
    private int passed;
    /** Entries that were found unable to start, until capacity changes. */
    private final Set<Entry<T>> blocked = new HashSet<>();

    /** Adds a generation; see {@link Entry}. */
    public Entry<T> add(T value, int rank, Optional<OrganisationId> organisation, long tokens, long latestStart) {
        var entry = new Entry<>(value, rank, organisation, Math.max(0, tokens), latestStart, arrivals++);
        entries.add(entry);
        return entry;
    }

    /**
     * Returns the generation that may start next.
     *
     * @param now monotonic time, in nanoseconds
     */
    public Optional<Entry<T>> next(long now) {
        List<Entry<T>> onTime = onTime(now);
        if (onTime.isEmpty()) {
            return Optional.empty();
        }
        Entry<T> oldest = oldest(onTime);
        return Optional.of(passed >= MAX_PASSED && !blocked.contains(oldest) ? oldest : inTurn(onTime, now));
    }

    /** Returns the generations that can still be on time, or all if none can. */
    private List<Entry<T>> onTime(long now) {
        List<Entry<T>> onTime =
                entries.stream().filter(e -> e.latestStart() - now > 0).toList();
        return onTime.isEmpty() ? entries : onTime;
    }

    private Entry<T> oldest(List<Entry<T>> candidates) {
        return candidates.stream().min(Comparator.comparingLong(Entry::arrival)).orElseThrow();
    }

    /** Returns the first generation by rank, turn of its organisation and latest start. */
    private Entry<T> inTurn(List<Entry<T>> candidates, long now) {
        return firstOfEachOrganisation(candidates).values().stream()
                .min(Comparator.comparingLong((Entry<T> e) -> turnsUntil(e, now))
                        .thenComparingLong(e -> account(e).lastStart)
                        .thenComparingLong(Entry::latestStart)
                        .thenComparingLong(Entry::arrival))
                .orElseThrow();
    }

    private Map<Optional<OrganisationId>, Entry<T>> firstOfEachOrganisation(List<Entry<T>> candidates) {
        int rank = candidates.stream().mapToInt(Entry::rank).min().orElseThrow();
        Map<Optional<OrganisationId>, Entry<T>> first = new HashMap<>();
        Comparator<Entry<T>> order =
                Comparator.comparingLong((Entry<T> e) -> e.latestStart()).thenComparingLong(Entry::arrival);
        candidates.stream()
                .filter(e -> e.rank() == rank)
                .forEach(e -> first.merge(e.organisation(), e, (a, b) -> order.compare(a, b) <= 0 ? a : b));
        return first;
    }

    private Account account(Entry<T> entry) {
        return accounts.computeIfAbsent(entry.organisation(), o -> new Account());
    }

    /** Returns how many turns its organisation needs until it may start a generation. */
    private long turnsUntil(Entry<T> entry, long now) {
        return Math.max(0, (long) Math.ceil((entry.tokens() - account(entry).deficit(now)) / QUANTUM_TOKENS));
    }

    /**
     * Records that the next generation cannot start with the capacity that is free now. If it is next only since it
     * has waited longest, the others may try until {@link #onCapacityChange}.
     */
    public void onBlocked(Entry<T> entry) {
        blocked.add(entry);
    }

    /** Records that capacity may have become free. */
    public void onCapacityChange() {
        blocked.clear();
    }

    /**
     * Removes a generation.
     *
     * @param started whether it starts at an engine
     * @param now monotonic time, in nanoseconds
     */
    public void remove(Entry<T> entry, boolean started, long now) {
        if (started) {
            passed = entry == oldest(onTime(now)) ? 0 : passed + 1;
            takeTurn(entry, now);
        }
        entries.remove(entry);
        blocked.remove(entry);
        forgetIdle(now);
    }

    /**
     * Gives each waiting organisation of the same rank the turns until the next start, and charges the entry's. One
     * that waits alone needs no turns, and its starts become a debt.
     */
    private void takeTurn(Entry<T> entry, long now) {
        var first = firstOfEachOrganisation(
                entries.stream().filter(e -> e.rank() == entry.rank()).toList());
        long turns = first.size() < 2
                ? 0
                : first.values().stream()
                        .mapToLong(e -> turnsUntil(e, now))
                        .min()
                        .orElse(0);
        first.values().stream().map(this::account).forEach(a -> a.set(a.deficit(now) + turns * QUANTUM_TOKENS, now));
        Account own = account(entry);
        own.set(own.deficit(now) - entry.tokens(), now);
        own.lastStart = starts++;
    }

    /** An organisation that does not wait saves no turns, and its debt is forgotten once it is negligible. */
    private void forgetIdle(long now) {
        accounts.entrySet().removeIf(e -> {
            boolean idle =
                    entries.stream().noneMatch(waiting -> waiting.organisation().equals(e.getKey()));
            return idle && e.getValue().deficit(now) > -NEGLIGIBLE_DEBT;
        });
    }

    /** Returns how many generations wait. */
    public int size() {
        return entries.size();
    }

    /** Returns how many generations of a rank wait. */
    public int size(int rank) {
        return (int) entries.stream().filter(e -> e.rank() == rank).count();
    }

    /** Returns how many generations wait that are at least as urgent as a rank. */
    public int sizeUpTo(int rank) {
        return (int) entries.stream().filter(e -> e.rank() <= rank).count();
    }

    /** Returns of how many organisations something is remembered. */
    int accounts() {
        return accounts.size();
    }
}
