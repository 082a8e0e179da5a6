package org.verbenatally.forward;

import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;

import io.vertx.core.Promise;
import org.jboss.logging.Logger;
import org.verbenatally.core.OrganisationId;
import org.verbenatally.core.ServiceName;
import org.verbenatally.forward.admission.RankInService;
import org.verbenatally.forward.admission.RetryDelay;
import org.verbenatally.forward.admission.StartOrder;
import org.verbenatally.time.TimedAwait;
import org.verbenatally.time.TimerService;

/**
 * Generations that wait at this instance until an engine has capacity, in the order of {@link StartOrder}. A generation
 * that waits here can still go to any engine, unlike one that waits at an engine. Safe for use by several threads.
 */
final class WaitQueue {
    private static final Logger LOG = Logger.getLogger(WaitQueue.class);
    /**
     * Longest queue of one rank of a service; a generation that arrives later would not be served within a usual
     * deadline. Ranks have separate limits, so that the less urgent cannot keep out the more urgent.
     */
    private static final int MAX_WAITING = 64;

    /**
     * A generation that asks to wait.
     *
     * @param rank rank in the queue, 0 first
     * @param organisation organisation of its caller, if known
     * @param tokens tokens that it is expected to read and generate
     * @param onTimeUntil monotonic time, in nanoseconds, up to which a start is on time
     */
    record Candidate(int rank, Optional<OrganisationId> organisation, long tokens, long onTimeUntil) {}

    /**
     * A position in the queue.
     *
     * @param entry position in the order of starts; its value is the present wait for capacity
     */
    record Position(StartOrder.Entry<AtomicReference<Promise<Void>>> entry) {
        private void wake() {
            entry.value().get().tryComplete();
        }
    }

    private static final class ServiceQueue {
        private final StartOrder<AtomicReference<Promise<Void>>> order = new StartOrder<>();
        private final RetryDelay retryDelay = new RetryDelay();

        private void wakeNext(long now) {
            order.next(now).map(Position::new).ifPresent(Position::wake);
        }
    }

    private final TimerService timer;
    private final Map<ServiceName, ServiceQueue> queues = new ConcurrentHashMap<>();

    WaitQueue(TimerService timer) {
        this.timer = Objects.requireNonNull(timer, "timer");
    }

    private ServiceQueue queue(ServiceName service) {
        return queues.computeIfAbsent(service, s -> new ServiceQueue());
    }

    /** Adds a position to the queue of a service, or returns {@code null} if the queue of its rank is full. */
    synchronized Position enter(ServiceName service, Candidate candidate) {
        var order = queue(service).order;
        if (order.size(candidate.rank()) >= MAX_WAITING) {
            return null;
        }
        return new Position(order.add(
                new AtomicReference<>(Promise.promise()),
                candidate.rank(),
                candidate.organisation(),
                candidate.tokens(),
                candidate.onTimeUntil()));
    }

    /** Returns whether a position may start next. */
    synchronized boolean isNext(ServiceName service, Position position) {
        return queue(service)
                .order
                .next(timer.nanos())
                .filter(next -> next == position.entry())
                .isPresent();
    }

    /**
     * Records that no engine has capacity for a position that is next. If it is next only since it has waited longest,
     * the others may try now.
     */
    synchronized void onBlocked(ServiceName service, Position position) {
        ServiceQueue queue = queue(service);
        queue.order.onBlocked(position.entry());
        if (!isNext(service, position)) {
            queue.wakeNext(timer.nanos());
        }
    }

    /** Waits until there may be capacity for a position that is the next one, for at most the given time. */
    void await(Position position, Duration limit) {
        try {
            var signal = position.entry().value();
            TimedAwait.await(signal.get().future(), limit);
            signal.set(Promise.promise());
        } catch (TimeoutException e) {
            // The caller checks for capacity periodically in any case.
            LOG.tracef("line: position %d has waited for %s", position.entry().arrival(), limit);
        }
    }

    /** Wakes the next position of each queue, since an engine may have capacity. */
    synchronized void wake() {
        long now = timer.nanos();
        queues.values().forEach(queue -> {
            queue.order.onCapacityChange();
            queue.wakeNext(now);
        });
    }

    /**
     * Removes a position.
     *
     * @param started whether its generation starts at an engine
     */
    synchronized void leave(ServiceName service, Position position, boolean started) {
        ServiceQueue queue = queue(service);
        long now = timer.nanos();
        queue.order.remove(position.entry(), started, now);
        if (started) {
            queue.retryDelay.onStart(now);
        }
        queue.wakeNext(now);
    }

    /**
     * Returns the delay after which a refused caller should retry.
     *
     * @param rank rank among the generations of the service
     * @param queueRank rank in the queue
     * @param remaining time for which the response is still of use
     */
    synchronized Duration retryAfter(ServiceName service, RankInService rank, int queueRank, Duration remaining) {
        ServiceQueue queue = queue(service);
        return queue.retryDelay.onRefused(
                rank,
                queue.order.sizeUpTo(queueRank),
                remaining,
                timer.nanos(),
                () -> ThreadLocalRandom.current().nextDouble());
    }

    synchronized int size() {
        return queues.values().stream().mapToInt(queue -> queue.order.size()).sum();
    }
}
