package org.verbenatally.forward;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.function.IntSupplier;

import org.verbenatally.core.ServiceName;
import org.verbenatally.time.TimerService;

/**
 * Bounds how often requests are sent a second time to each service, over a sliding window: a share of the first sends
 * of this instance, and its part of a fixed number that all instances have together. Safe for use by several threads.
 */
public final class RepeatAllowance {
    /** Part of the allowance that is used, since the windows and the members of two instances differ. */
    private static final double USED_SHARE = 0.7;
    /** Targets that may turn a request away before it is refused. */
    private static final int MAX_SENDS = 3;

    /**
     * The rule that all instances keep together.
     *
     * @param ratio repeats allowed for each first send
     * @param window length of the sliding window
     * @param slack repeats allowed besides in any window, over all instances
     */
    public record Rule(double ratio, Duration window, int slack) {}

    private static final class Counts {
        final Deque<Long> firstSends = new ArrayDeque<>();
        final Deque<Long> retries = new ArrayDeque<>();

        void trim(long oldest) {
            trim(firstSends, oldest);
            trim(retries, oldest);
        }

        private static void trim(Deque<Long> times, long oldest) {
            while (!times.isEmpty() && times.peekFirst() - oldest < 0) {
                times.removeFirst();
            }
        }
    }

    private final TimerService timer;
    private volatile Rule rule;
    private final IntSupplier members;
    private final Map<ServiceName, Counts> services = new HashMap<>();

    /**
     * Creates an unused allowance.
     *
     * @param timer clock
     * @param rule the rule
     * @param members live instances, this one included
     */
    public RepeatAllowance(TimerService timer, Rule rule, IntSupplier members) {
        this.timer = Objects.requireNonNull(timer, "timer");
        this.rule = Objects.requireNonNull(rule, "rule");
        this.members = Objects.requireNonNull(members, "members");
    }

    /** Replaces the rule; what was counted stays. */
    void setRule(Rule next) {
        rule = Objects.requireNonNull(next, "next");
    }

    private Counts counts(ServiceName service) {
        Counts counts = services.computeIfAbsent(service, s -> new Counts());
        counts.trim(timer.nanos() - rule.window().toNanos());
        return counts;
    }

    /**
     * Tells whether a request may be sent, and counts the send.
     *
     * @param sends how often it was sent before
     */
    boolean tryAcquire(ServiceName service, int previousSends) {
        if (previousSends == 0) {
            countFirstSend(service);
            return true;
        }
        return previousSends < MAX_SENDS && tryRetry(service);
    }

    /** Counts a first send. */
    synchronized void countFirstSend(ServiceName service) {
        counts(service).firstSends.addLast(timer.nanos());
    }

    /** Takes one repeat, if the rule allows it. */
    synchronized boolean tryRetry(ServiceName service) {
        Counts counts = counts(service);
        double limit =
                rule.ratio() * counts.firstSends.size() + rule.slack() / (double) Math.max(1, members.getAsInt());
        boolean allowed = counts.retries.size() + 1 <= USED_SHARE * limit;
        if (allowed) {
            counts.retries.addLast(timer.nanos());
        }
        return allowed;
    }
}
