package org.verbenatally.entry.caller;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.verbenatally.config.Organisation;
import org.verbenatally.core.OrganisationId;
import org.verbenatally.core.Step;

/** Limits of each organisation at this entry: request rate and open requests. Safe for use by several threads. */
final class OrganisationLimits {
    private static final int TOO_MANY_REQUESTS = 429;
    private static final double NANOS_PER_SECOND = 1e9;
    /** Unused rate that may be saved up, in seconds. */
    private static final double BURST_SECONDS = 2;

    private final Map<OrganisationId, Usage> usages = new ConcurrentHashMap<>();

    private static final class Usage {
        private double tokens = -1;
        private long lastNanos;
        private int open;
    }

    /** A place among the open requests; closing it more than once does nothing. */
    final class Place implements AutoCloseable {
        private Usage usage;

        private Place(Usage usage) {
            this.usage = usage;
        }

        @Override
        public void close() {
            Usage held;
            synchronized (this) {
                held = usage;
                usage = null;
            }
            if (held != null) {
                synchronized (held) {
                    held.open--;
                }
            }
        }
    }

    /**
     * Counts a request.
     *
     * @param organisation whose request it is
     * @param nowNanos monotonic time
     * @param isNewWork whether the limit of open requests applies; a resume takes the place of a lost connection
     * @throws ProblemException if the organisation is above a limit
     */
    Place enter(Organisation organisation, long nowNanos, boolean isNewWork) {
        Usage usage = usages.computeIfAbsent(organisation.id(), id -> new Usage());
        Optional<Problem> refusal;
        synchronized (usage) {
            refusal = check(usage, organisation, nowNanos, isNewWork);
            if (refusal.isEmpty()) {
                usage.tokens--;
                usage.open++;
            }
        }
        refusal.ifPresent(problem -> {
            throw new ProblemException(problem);
        });
        return new Place(usage);
    }

    private static Optional<Problem> check(Usage usage, Organisation organisation, long nowNanos, boolean isNewWork) {
        double rate = organisation.requestsPerSecond();
        double bound = Math.max(1, rate * BURST_SECONDS);
        if (usage.tokens < 0) {
            usage.tokens = bound;
        } else {
            usage.tokens = Math.min(bound, usage.tokens + (nowNanos - usage.lastNanos) / NANOS_PER_SECOND * rate);
        }
        usage.lastNanos = nowNanos;
        if (isNewWork && usage.open >= organisation.maxStreams()) {
            return Optional.of(refusal("too-many-open", "the organisation has too many open requests")
                    .withRetryAfter(Duration.ofSeconds(1)));
        }
        if (usage.tokens < 1) {
            long waitMs = (long) Math.ceil((1 - usage.tokens) / rate * 1_000);
            return Optional.of(refusal("rate-limited", "the organisation sends too many requests a second")
                    .withRetryAfter(Duration.ofMillis(waitMs)));
        }
        return Optional.empty();
    }

    private static Problem refusal(String type, String detail) {
        return Problem.refused(TOO_MANY_REQUESTS, type, Step.ADMIT, detail);
    }

    /** Returns the open requests of all organisations. */
    int open() {
        int sum = 0;
        for (Usage usage : usages.values()) {
            synchronized (usage) {
                sum += usage.open;
            }
        }
        return sum;
    }

    /** Forgets organisations that are no longer configured and have no open request. */
    void retain(Set<OrganisationId> configured) {
        usages.entrySet().removeIf(entry -> {
            synchronized (entry.getValue()) {
                return entry.getValue().open == 0 && !configured.contains(entry.getKey());
            }
        });
    }
}
