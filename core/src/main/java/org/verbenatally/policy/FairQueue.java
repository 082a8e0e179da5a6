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
 * Queue of requests, divided by kind. The kinds are ordered by urgency, value and the age of their oldest request.
 * Within a kind, organisations take turns in proportion to their shares (start-time fair queueing). The admission
 * policy bounds the size. Not safe for use by several threads.
 *
 * @param <T> type of the queued values
 */
final class FairQueue<T> {
    /** Waiting time, in nanoseconds, after which patient work moves up by one rank. */
    private static final long AGEING_NANOS = Duration.ofSeconds(10).toNanos();
    /** Best rank of patient work, so that it never goes before urgent work, however long it has waited. */
    private static final double BEST_PATIENT_RANK = 0.5;

    /**
     * One queued item.
     *
     * @param value the queued value
     * @param cost expected tokens
     * @param enqueuedNanos monotonic time at which it was added, in nanoseconds
     */
    record Item<T>(T value, double cost, long enqueuedNanos) {}

    /**
     * The queued requests of one organisation for one kind; {@code virtualStart} is the virtual start time of the
     * first.
     */
    private final class Flow {
        final Deque<Item<T>> items = new ArrayDeque<>();
        final double share;
        double virtualStart;

        Flow(double share, double virtualStart) {
            this.share = share;
            this.virtualStart = virtualStart;
        }
    }

    /** The queued requests of one kind. */
    private final class KindQueue {
        final Kind kind;
        final Map<OrganisationId, Flow> flows = new HashMap<>();
        double virtualTime;

        KindQueue(Kind kind) {
            this.kind = kind;
        }

        long oldestEnqueuedNanos() {
            long oldest = Long.MAX_VALUE;
            for (Flow flow : flows.values()) {
                oldest = Math.min(oldest, flow.items.getFirst().enqueuedNanos());
            }
            return oldest;
        }

        double rank(long now) {
            if (kind.urgency() == Kind.Urgency.URGENT) {
                return 0;
            }
            double rank = kind.value() == Kind.Value.HIGH ? 1 : 2;
            return Math.max(BEST_PATIENT_RANK, rank - (double) (now - oldestEnqueuedNanos()) / AGEING_NANOS);
        }
    }

    private final Map<KindName, KindQueue> kindQueues = new HashMap<>();
    private final Map<OrganisationId, Integer> sizes = new HashMap<>();
    private int size;

    int size() {
        return size;
    }

    int size(OrganisationId organisation) {
        return sizes.getOrDefault(organisation, 0);
    }

    /** Returns the number of queued requests of a kind. */
    int size(KindName kind) {
        KindQueue kindQueue = kindQueues.get(kind);
        return kindQueue == null
                ? 0
                : kindQueue.flows.values().stream()
                        .mapToInt(f -> f.items.size())
                        .sum();
    }

    /**
     * Returns how many requests of a kind would be served before a new one of an organisation, if the shares are
     * observed.
     */
    double requestsAhead(Kind kind, OrganisationId organisation, double share) {
        KindQueue kindQueue = kindQueues.get(kind.name());
        if (kindQueue == null) {
            return 0;
        }
        Flow own = kindQueue.flows.get(organisation);
        int ownSize = own == null ? 0 : own.items.size();
        double ahead = ownSize;
        for (Flow flow : kindQueue.flows.values()) {
            if (flow != own) {
                ahead += Math.min(flow.items.size(), (ownSize + 1) * flow.share / share);
            }
        }
        return ahead;
    }

    /** Adds a request behind the other requests of its organisation. */
    void add(Kind kind, OrganisationId organisation, double share, Item<T> item) {
        KindQueue kindQueue = kindQueues.computeIfAbsent(kind.name(), name -> new KindQueue(kind));
        kindQueue
                .flows
                .computeIfAbsent(organisation, id -> new Flow(share, kindQueue.virtualTime))
                .items
                .addLast(item);
        sizes.merge(organisation, 1, Integer::sum);
        size++;
    }

    /**
     * Offers the first request of each kind in the order of their ranks, and removes those that are started.
     *
     * @param now the monotonic time, in nanoseconds
     * @param tryStart tries to start a request and returns whether it did
     * @return whether any request was started
     */
    boolean dispatch(long now, Predicate<T> tryStart) {
        List<KindQueue> order = new ArrayList<>(kindQueues.values());
        order.sort(Comparator.comparingDouble(kindQueue -> kindQueue.rank(now)));
        boolean anyStarted = false;
        for (KindQueue kindQueue : order) {
            anyStarted |= dispatchFirst(kindQueue, tryStart);
        }
        return anyStarted;
    }

    private boolean dispatchFirst(KindQueue kindQueue, Predicate<T> tryStart) {
        Optional<Map.Entry<OrganisationId, Flow>> first =
                kindQueue.flows.entrySet().stream().min(Comparator.comparingDouble(e -> e.getValue().virtualStart));
        if (first.isEmpty()
                || !tryStart.test(first.get().getValue().items.getFirst().value())) {
            return false;
        }
        Flow flow = first.get().getValue();
        Item<T> taken = flow.items.removeFirst();
        kindQueue.virtualTime = flow.virtualStart;
        flow.virtualStart += taken.cost() / flow.share;
        onRemoved(kindQueue, first.get().getKey(), flow);
        return true;
    }

    /** Removes all items that match the filter and returns their values. */
    List<T> removeIf(Predicate<Item<T>> filter) {
        List<T> removed = new ArrayList<>();
        for (KindQueue kindQueue : List.copyOf(kindQueues.values())) {
            for (Map.Entry<OrganisationId, Flow> flowEntry : List.copyOf(kindQueue.flows.entrySet())) {
                Iterator<Item<T>> items = flowEntry.getValue().items.iterator();
                while (items.hasNext()) {
                    Item<T> item = items.next();
                    if (filter.test(item)) {
                        items.remove();
                        removed.add(item.value());
                        onRemoved(kindQueue, flowEntry.getKey(), flowEntry.getValue());
                    }
                }
            }
        }
        return removed;
    }

    private void onRemoved(KindQueue kindQueue, OrganisationId organisation, Flow flow) {
        size--;
        sizes.computeIfPresent(organisation, (id, count) -> count == 1 ? null : count - 1);
        if (flow.items.isEmpty()) {
            kindQueue.flows.remove(organisation);
        }
        if (kindQueue.flows.isEmpty()) {
            kindQueues.remove(kindQueue.kind.name());
        }
    }
}
