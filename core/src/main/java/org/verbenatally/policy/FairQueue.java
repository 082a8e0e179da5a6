package org.verbenatally.policy;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

import org.verbenatally.config.Kind;
import org.verbenatally.core.KindName;
import org.verbenatally.core.OrganisationId;

/**
 * Bounded queue of requests in lanes by kind. Lanes are ordered by urgency, value and the age of their oldest request.
 * Within a lane, organisations take turns in proportion to their shares (start-time fair queueing). Not safe for use by
 * several threads.
 *
 * @param <T> what waits
 */
final class FairQueue<T> {
    /** Patient work gains one class by waiting this long. */
    private static final long AGEING_NANOS = Duration.ofSeconds(10).toNanos();
    /** Patient work never goes before urgent work, however long it has waited. */
    private static final double BEST_PATIENT_RANK = 0.5;

    /**
     * One waiting item.
     *
     * @param value what waits
     * @param cost expected tokens
     * @param sinceNanos when it was added
     */
    record Entry<T>(T value, double cost, long sinceNanos) {}

    /** The waiting requests of one organisation in one lane; {@code start} is the virtual start of its first one. */
    private final class Flow {
        final Deque<Entry<T>> entries = new ArrayDeque<>();
        final double share;
        double start;

        Flow(double share, double start) {
            this.share = share;
            this.start = start;
        }
    }

    /** The requests of one kind. */
    private final class Lane {
        final Kind kind;
        final Map<OrganisationId, Flow> flows = new HashMap<>();
        double virtualTime;

        Lane(Kind kind) {
            this.kind = kind;
        }

        long oldest() {
            long oldest = Long.MAX_VALUE;
            for (Flow flow : flows.values()) {
                oldest = Math.min(oldest, flow.entries.getFirst().sinceNanos());
            }
            return oldest;
        }

        double rank(long now) {
            if (kind.urgency() == Kind.Urgency.URGENT) {
                return 0;
            }
            double rank = kind.value() == Kind.Value.HIGH ? 1 : 2;
            return Math.max(BEST_PATIENT_RANK, rank - (double) (now - oldest()) / AGEING_NANOS);
        }
    }

    private final Map<KindName, Lane> lanes = new HashMap<>();
    private final Map<OrganisationId, Integer> sizes = new HashMap<>();
    private int size;

    int size() {
        return size;
    }

    int size(OrganisationId organisation) {
        return sizes.getOrDefault(organisation, 0);
    }

    /** Returns how many requests of a kind wait. */
    int size(KindName kind) {
        Lane lane = lanes.get(kind);
        return lane == null
                ? 0
                : lane.flows.values().stream().mapToInt(f -> f.entries.size()).sum();
    }

    /** Returns how many requests of a kind go before a new one of an organisation, if turns are shared fairly. */
    double ahead(Kind kind, OrganisationId organisation, double share) {
        Lane lane = lanes.get(kind.name());
        if (lane == null) {
            return 0;
        }
        Flow own = lane.flows.get(organisation);
        int mine = own == null ? 0 : own.entries.size();
        double ahead = mine;
        for (Flow flow : lane.flows.values()) {
            if (flow != own) {
                ahead += Math.min(flow.entries.size(), (mine + 1) * flow.share / share);
            }
        }
        return ahead;
    }

    /** Adds a request at the end of its organisation's turn. */
    void add(Kind kind, OrganisationId organisation, double share, Entry<T> entry) {
        Lane lane = lanes.computeIfAbsent(kind.name(), name -> new Lane(kind));
        lane.flows
                .computeIfAbsent(organisation, id -> new Flow(share, lane.virtualTime))
                .entries
                .addLast(entry);
        sizes.merge(organisation, 1, Integer::sum);
        size++;
    }

    /**
     * Offers the first request of each lane, best lane first, and removes those that are taken.
     *
     * @param take tries to start a request and tells whether it did
     * @return whether any was taken
     */
    boolean offer(long now, Predicate<T> take) {
        List<Lane> order = new ArrayList<>(lanes.values());
        order.sort(Comparator.comparingDouble(lane -> lane.rank(now)));
        boolean any = false;
        for (Lane lane : order) {
            any |= offerFirst(lane, take);
        }
        return any;
    }

    private boolean offerFirst(Lane lane, Predicate<T> take) {
        Optional<Map.Entry<OrganisationId, Flow>> first =
                lane.flows.entrySet().stream().min(Comparator.comparingDouble(e -> e.getValue().start));
        if (first.isEmpty()
                || !take.test(first.get().getValue().entries.getFirst().value())) {
            return false;
        }
        Flow flow = first.get().getValue();
        Entry<T> taken = flow.entries.removeFirst();
        lane.virtualTime = flow.start;
        flow.start += taken.cost() / flow.share;
        removed(lane, first.get().getKey(), flow);
        return true;
    }

    /** Removes all requests that match and returns them. */
    List<T> removeIf(Predicate<Entry<T>> match) {
        List<T> removed = new ArrayList<>();
        for (Lane lane : List.copyOf(lanes.values())) {
            for (Map.Entry<OrganisationId, Flow> row : List.copyOf(lane.flows.entrySet())) {
                Iterator<Entry<T>> entries = row.getValue().entries.iterator();
                while (entries.hasNext()) {
                    Entry<T> entry = entries.next();
                    if (match.test(entry)) {
                        entries.remove();
                        removed.add(entry.value());
                        removed(lane, row.getKey(), row.getValue());
                    }
                }
            }
        }
        return removed;
    }

    private void removed(Lane lane, OrganisationId organisation, Flow flow) {
        size--;
        sizes.computeIfPresent(organisation, (id, count) -> count == 1 ? null : count - 1);
        if (flow.entries.isEmpty()) {
            lane.flows.remove(organisation);
        }
        if (lane.flows.isEmpty()) {
            lanes.remove(lane.kind.name());
        }
    }
}
