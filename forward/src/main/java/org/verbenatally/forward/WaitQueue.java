package org.verbenatally.forward;

import java.time.Duration;
import java.util.Comparator;
import java.util.Map;
import java.util.Objects;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;

import io.vertx.core.Promise;
import org.jboss.logging.Logger;
import org.verbenatally.core.ServiceName;
import org.verbenatally.time.TimedAwait;
import org.verbenatally.time.TimerService;

/**
 * Generations that wait at this instance until an engine has capacity. Those that can still start on time go first, the
 * most urgent before the others. A generation that waits here can still go to any engine, unlike one that waits at an
 * engine. Safe for use by several threads.
 */
final class WaitQueue {
    private static final Logger LOG = Logger.getLogger(WaitQueue.class);
    /** Longest queue of one service; a generation that arrives later would not be served within a usual deadline. */
    private static final int MAX_WAITING = 64;

    /**
     * A position in the queue.
     *
     * @param priority rank of the route, 0 first
     * @param onTimeUntil monotonic time, in nanoseconds, up to which a start is on time
     * @param arrival arrival number, which distinguishes positions that are otherwise equal
     * @param capacitySignal the present wait for capacity
     */
    record Position(int priority, long onTimeUntil, long arrival, AtomicReference<Promise<Void>> capacitySignal) {}

    private final TimerService timer;
    private final Map<ServiceName, TreeSet<Position>> queues = new ConcurrentHashMap<>();
    private long arrivals;

    WaitQueue(TimerService timer) {
        this.timer = Objects.requireNonNull(timer, "timer");
    }

    /** Adds a position to the queue of a service, or returns {@code null} if the queue is full. */
    synchronized Position enter(ServiceName service, int priority, long onTimeUntil) {
        TreeSet<Position> queue = queues.computeIfAbsent(
                service,
                s -> new TreeSet<>(Comparator.comparingInt(Position::priority)
                        .thenComparingLong(Position::onTimeUntil)
                        .thenComparingLong(Position::arrival)));
        if (queue.size() >= MAX_WAITING) {
            return null;
        }
        Position position = new Position(priority, onTimeUntil, arrivals++, new AtomicReference<>(Promise.promise()));
        queue.add(position);
        return position;
    }

    /** Returns whether a position is the next one: the first that is still on time, or the first of all if none is. */
    synchronized boolean isNext(ServiceName service, Position position) {
        return next(queues.get(service)) == position;
    }

    private Position next(TreeSet<Position> queue) {
        long now = timer.nanos();
        return queue.stream().filter(p -> p.onTimeUntil() - now > 0).findFirst().orElseGet(queue::first);
    }

    /** Waits until there may be capacity for a position that is the next one, for at most the given time. */
    void await(Position position, Duration limit) {
        try {
            TimedAwait.await(position.capacitySignal().get().future(), limit);
            position.capacitySignal().set(Promise.promise());
        } catch (TimeoutException e) {
            // The caller checks for capacity periodically in any case.
            LOG.tracef("line: position %d has waited for %s", position.arrival(), limit);
        }
    }

    /** Wakes the next position of each queue, since an engine may have capacity. */
    synchronized void wake() {
        queues.values().stream()
                .filter(queue -> !queue.isEmpty())
                .map(this::next)
                .forEach(WaitQueue::wake);
    }

    private static void wake(Position position) {
        position.capacitySignal().get().tryComplete();
    }

    synchronized void leave(ServiceName service, Position position) {
        TreeSet<Position> queue = queues.get(service);
        queue.remove(position);
        if (!queue.isEmpty()) {
            wake(next(queue));
        }
    }

    synchronized int size() {
        return queues.values().stream().mapToInt(TreeSet::size).sum();
    }
}
