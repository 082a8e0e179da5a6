package org.verbenatally.forward;

import java.util.Comparator;
import java.util.Map;
import java.util.Objects;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;

import org.verbenatally.core.ServiceName;
import org.verbenatally.time.TimerService;

/**
 * Generations that wait at this instance until an engine has room. Those that can still start on time go first, the
 * most urgent before the others. Waiting here keeps a generation free to go to any engine, which one that waits at an
 * engine is not. Safe for use by several threads.
 */
final class WaitingLine {
    /** Longest line of one service; whoever comes later would not get its turn within a usual deadline. */
    private static final int MAX_WAITING = 64;

    /**
     * A place in the line.
     *
     * @param priority rank of the route, 0 first
     * @param onTimeUntil monotonic time up to which a start is on time
     * @param arrival number that tells apart places that are otherwise equal
     */
    record Place(int priority, long onTimeUntil, long arrival) {}

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
        Place place = new Place(priority, onTimeUntil, arrivals++);
        line.add(place);
        return place;
    }

    /** Tells whether a place is the next one: the first that is still on time, or the first of all if none is. */
    synchronized boolean isNext(ServiceName service, Place place) {
        long now = timer.nanos();
        TreeSet<Place> line = lines.get(service);
        return line.stream()
                .filter(p -> p.onTimeUntil() - now > 0)
                .findFirst()
                .orElseGet(line::first)
                .equals(place);
    }

    synchronized void leave(ServiceName service, Place place) {
        lines.get(service).remove(place);
    }

    synchronized int size() {
        return lines.values().stream().mapToInt(TreeSet::size).sum();
    }
}
