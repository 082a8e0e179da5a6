package org.verbenatally.forward;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.IntSupplier;

import org.verbenatally.core.ServiceName;
import org.verbenatally.time.TimerService;

/**
 * Limits how often requests are retried at each service, over a sliding window: to a ratio of this instance's first
 * sends, plus its part of a fixed number that all instances share. Safe for use by several threads.
 */
public final class RetryAllowance {
    /** Share of the allowance that is used, since the windows and the member counts of two instances differ. */
    private static final double USED_SHARE = 0.7;
    /** Number of targets that may reject a request before it is refused. */
    private static final int MAX_SENDS = 3;

    /**
     * The retry limit, which holds for all instances together.
     *
     * @param ratio retries allowed for each first send
     * @param window length of the sliding window
     * @param slack further retries allowed in any window, over all instances
     */
    public record Rule(double ratio, Duration window, int slack) {}

    private static final class Counts {
        final Deque<Permit> firstSends = new ArrayDeque<>();
        final Deque<Permit> retries = new ArrayDeque<>();

        void trim(long oldest) {
            trim(firstSends, oldest);
            trim(retries, oldest);
        }

        private static void trim(Deque<Permit> permits, long oldest) {
            while (!permits.isEmpty() && permits.peekFirst().nanos - oldest < 0) {
                permits.removeFirst();
            }
        }
    }

    /** A send that was counted and may be made. */
    final class Permit {
        private final Deque<Permit> counted;
        private final long nanos;

        private Permit(Deque<Permit> counted) {
            this.counted = counted;
            this.nanos = timer.nanos();
            counted.addLast(this);
        }

        /** Takes a send that was not made out of the count. Has no effect if it was taken out before. */
        void cancel() {
            synchronized (RetryAllowance.this) {
                counted.removeLastOccurrence(this);
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
     * @param rule the limit
     * @param members live instances, this one included
     */
    public RetryAllowance(TimerService timer, Rule rule, IntSupplier members) {
        this.timer = Objects.requireNonNull(timer, "timer");
        this.rule = Objects.requireNonNull(rule, "rule");
        this.members = Objects.requireNonNull(members, "members");
    }

    /** Replaces the rule; the counts are kept. */
    void setRule(Rule next) {
        rule = Objects.requireNonNull(next, "next");
    }

    private Counts counts(ServiceName service) {
        Counts counts = services.computeIfAbsent(service, s -> new Counts());
        counts.trim(timer.nanos() - rule.window().toNanos());
        return counts;
    }

    /**
     * Counts a send of a request if the rule allows it; empty otherwise.
     *
     * @param previousSends how often the request was sent before
     */
    Optional<Permit> tryAcquire(ServiceName service, int previousSends) {
        if (previousSends == 0) {
            return Optional.of(countFirstSend(service));
        }
        return previousSends < MAX_SENDS ? tryRetry(service) : Optional.empty();
    }

    synchronized Permit countFirstSend(ServiceName service) {
        return new Permit(counts(service).firstSends);
    }

    /** Counts a retry if the rule allows it; empty otherwise. */
    synchronized Optional<Permit> tryRetry(ServiceName service) {
        Counts counts = counts(service);
        double limit =
                rule.ratio() * counts.firstSends.size() + rule.slack() / (double) Math.max(1, members.getAsInt());
        boolean allowed = counts.retries.size() + 1 <= USED_SHARE * limit;
        return allowed ? Optional.of(new Permit(counts.retries)) : Optional.empty();
    }

    /** Returns how many first sends are counted in the present window, over all services. */
    synchronized int firstSends() {
        return services.keySet().stream()
                .mapToInt(s -> counts(s).firstSends.size())
                .sum();
    }

    /** Returns how many retries are counted in the present window, over all services. */
    synchronized int retries() {
        return services.keySet().stream()
                .mapToInt(s -> counts(s).retries.size())
                .sum();
    }
}
