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
 * Generations that wait at this instance until an engine has room. Those that can still start on time go first, the
 * most urgent before the others. Waiting here keeps a generation free to go to any engine, which one that waits at an
 * engine is not. Safe for use by several threads.
 */
final class WaitingLine {
    private static final Logger LOG = Logger.getLogger(WaitingLine.class);
    /** Longest line of one service; whoever comes later would not get its turn within a usual deadline. */
    private static final int MAX_WAITING = 64;

    /**
     * A place in the line.
     *
     * @param priority rank of the route, 0 first
     * @param onTimeUntil monotonic time up to which a start is on time
     * @param arrival number that tells apart places that are otherwise equal
     * @param room the present wait for room
     */
    record Place(int priority, long onTimeUntil, long arrival, AtomicReference<Promise<Void>> room) {}

    private final TimerService timer;
    private final Map<ServiceName, TreeSet<Place>> lines = new ConcurrentHashMap<>();
    private long arrivals;

    WaitingLine(TimerService timer) {
        this.timer = Objects.requireNonNull(timer, "timer");
    }

    /** Takes a place, or returns {@code null} if the line is full. */
    synchronized Place enter(ServiceName service, int priority, long onTimeUntil) {
        TreeSet<Place> line = lines.computeIfAbsent(
                service,
                s -> new TreeSet<>(Comparator.comparingInt(Place::priority)
                        .thenComparingLong(Place::onTimeUntil)
                        .thenComparingLong(Place::arrival)));
        if (line.size() >= MAX_WAITING) {
            return null;
        }
        Place place = new Place(priority, onTimeUntil, arrivals++, new AtomicReference<>(Promise.promise()));
        line.add(place);
        return place;
    }

    /** Tells whether a place is the next one: the first that is still on time, or the first of all if none is. */
    synchronized boolean isNext(ServiceName service, Place place) {
        return next(lines.get(service)) == place;
    }

    private Place next(TreeSet<Place> line) {
        long now = timer.nanos();
        return line.stream().filter(p -> p.onTimeUntil() - now > 0).findFirst().orElseGet(line::first);
    }

    /** Waits until there may be room for a place that is the next one, at most the given time. */
    void await(Place place, Duration limit) {
        try {
            TimedAwait.await(place.room().get().future(), limit);
            place.room().set(Promise.promise());
        } catch (TimeoutException e) {
            // The caller looks for room now and then in any case.
            LOG.tracef("line: place %d has waited for %s", place.arrival(), limit);
        }
    }

    /** Ends the waits of the next places, since an engine may have room. */
    synchronized void wake() {
        lines.values().stream().filter(line -> !line.isEmpty()).map(this::next).forEach(WaitingLine::wake);
    }

    private static void wake(Place place) {
        place.room().get().tryComplete();
    }

    synchronized void leave(ServiceName service, Place place) {
        TreeSet<Place> line = lines.get(service);
        line.remove(place);
        if (!line.isEmpty()) {
            wake(next(line));
        }
    }

    synchronized int size() {
        return lines.values().stream().mapToInt(TreeSet::size).sum();
    }
}
