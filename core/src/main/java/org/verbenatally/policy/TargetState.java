package org.verbenatally.policy;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import org.verbenatally.config.Kind;
import org.verbenatally.config.Target;
import org.verbenatally.core.Incarnation;

/** What this entry knows of one target. Safe for use by several threads. */
final class TargetState {
    final AtomicInteger ownRequests = new AtomicInteger();
    final AtomicLong ownTokens = new AtomicLong();
    final Set<RunningFlight> flights = ConcurrentHashMap.newKeySet();

    volatile Target target;
    volatile Received received;
    volatile boolean leaving;
    volatile Optional<Incarnation> leavingRun = Optional.empty();
    volatile int peerRequests;
    volatile long peerTokens;

    /**
     * A report with the time of its arrival.
     *
     * @param load the report
     * @param madeNanos when the target made it, on the monotonic clock of this entry
     */
    record Received(ReportedLoad load, long madeNanos) {}

    TargetState(Target target) {
        this.target = target;
    }

    boolean mayRun(Kind kind) {
        Received last = received;
        return !leaving
                && !target.leaving()
                && target.type() == kind.runsOn()
                && (kind.model().isEmpty()
                        || (last == null
                                ? target.models().stream()
                                        .anyMatch(m ->
                                                m.model().equals(kind.model().get()))
                                : last.load().models().contains(kind.model().get())));
    }
}
