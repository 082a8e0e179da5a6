package org.verbenatally.entry.caller;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.verbenatally.config.Organisation;
import org.verbenatally.core.OrganisationId;
import org.verbenatally.core.Step;

/** Limits the request rate and the open requests of each organisation at this entry. Thread-safe. */
final class OrganisationLimits {
    private static final int TOO_MANY_REQUESTS = 429;
    private static final double NANOS_PER_SECOND = 1e9;
    /** Capacity of the token bucket: unused rate accumulates for this many seconds. */
    private static final double BURST_SECONDS = 2;

    private final Map<OrganisationId, Usage> usages = new ConcurrentHashMap<>();

    private static final class Usage {
        private double bucketTokens = -1;
        private long lastNanos;
        private int openRequests;
    }

    /** The slot of an open request; closing it more than once does nothing. */
    final class Slot implements AutoCloseable {
        private Usage usage;

        private Slot(Usage usage) {
            this.usage = usage;
        }

        @Override
        public void close() {
            Usage heldUsage;
            synchronized (this) {
                heldUsage = usage;
                usage = null;
            }
            if (heldUsage != null) {
                synchronized (heldUsage) {
                    heldUsage.openRequests--;
                }
            }
        }
    }

    /**
     * Counts a request against its organisation's limits until the returned slot is closed.
     *
     * @param organisation whose request it is
     * @param nowNanos current time on the monotonic clock
     * @param isNewWork whether the limit of open requests applies; a resume is exempt, as it replaces a lost connection
     * @throws ProblemException if the organisation has reached a limit
     */
    Slot acquire(Organisation organisation, long nowNanos, boolean isNewWork) {
        Usage usage = usages.computeIfAbsent(organisation.id(), id -> new Usage());
        Optional<Problem> refusal;
        synchronized (usage) {
            refusal = checkLimits(usage, organisation, nowNanos, isNewWork);
            if (refusal.isEmpty()) {
                usage.bucketTokens--;
                usage.openRequests++;
            }
        }
        refusal.ifPresent(problem -> {
            throw new ProblemException(problem);
        });
        return new Slot(usage);
    }

    private static Optional<Problem> checkLimits(
            Usage usage, Organisation organisation, long nowNanos, boolean isNewWork) {
        double rate = organisation.requestsPerSecond();
        double burst = Math.max(1, rate * BURST_SECONDS);
        if (usage.bucketTokens < 0) {
            usage.bucketTokens = burst;
        } else {
            usage.bucketTokens =
                    Math.min(burst, usage.bucketTokens + (nowNanos - usage.lastNanos) / NANOS_PER_SECOND * rate);
        }
        usage.lastNanos = nowNanos;
        if (isNewWork && usage.openRequests >= organisation.maxStreams()) {
            return Optional.of(tooManyRequests("too-many-open", "the organisation has too many open requests")
                    .withRetryAfter(Duration.ofSeconds(1)));
        }
        if (usage.bucketTokens < 1) {
            long waitMs = (long) Math.ceil((1 - usage.bucketTokens) / rate * 1_000);
            return Optional.of(tooManyRequests("rate-limited", "the organisation sends too many requests per second")
                    .withRetryAfter(Duration.ofMillis(waitMs)));
        }
        return Optional.empty();
    }

    private static Problem tooManyRequests(String type, String detail) {
        return Problem.refused(TOO_MANY_REQUESTS, type, Step.ADMIT, detail);
    }

    /** Returns the number of open requests of all organisations. */
    int openRequests() {
        int sum = 0;
        for (Usage usage : usages.values()) {
            synchronized (usage) {
                sum += usage.openRequests;
            }
        }
        return sum;
    }

    /** Removes the usage of organisations that are no longer configured and have no open request. */
    void retain(Set<OrganisationId> configured) {
        usages.entrySet().removeIf(entry -> {
            synchronized (entry.getValue()) {
                return entry.getValue().openRequests == 0 && !configured.contains(entry.getKey());
            }
        });
    }
}
