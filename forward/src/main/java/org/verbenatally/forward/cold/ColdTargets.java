package org.verbenatally.forward.cold;

import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

import org.jboss.logging.Logger;
import org.verbenatally.core.FailureDomain;
import org.verbenatally.core.LogEvent;
import org.verbenatally.core.Step;
import org.verbenatally.core.TargetId;
import org.verbenatally.forward.ForwardTarget;
import org.verbenatally.forward.ServiceSpec.ColdLimit;
import org.verbenatally.time.TimerService;

/**
 * The targets that show signs of being cold. Signs are kept whether or not their service has a limit, because targets
 * may be known before the configuration; what they mean is decided when a request is to be sent. Safe for use by
 * several threads.
 */
public final class ColdTargets {
    private static final Logger LOG = Logger.getLogger(ColdTargets.class);

    /** Longest remaining time that a target may state; engines take seconds to warm up. */
    static final Duration MAX_STATED = Duration.ofMinutes(1);
    /** Time after the first target within which the list is still being learned; later targets are new to it. */
    static final Duration LIST_LEARNING_TIME = Duration.ofSeconds(5);
    /** Largest number of targets with signs that are kept, four times the planned fleet. */
    private static final int MAX_TARGETS = 16_384;
    /** Number of targets or domains above which those whose signs have expired are removed. */
    private static final int FIRST_PURGE = 256;

    private final TimerService timer;
    private final Map<TargetId, Signs> byTarget = new ConcurrentHashMap<>();
    private final Map<FailureDomain, Signs> byDomain = new ConcurrentHashMap<>();
    private boolean listBegun;
    private long listBegunAt;
    private int purgeAt = FIRST_PURGE;

    /** The signs of one target or domain; times are those of the monotonic clock, in nanoseconds. */
    private static final class Signs {
        /** Latest begin of a cold period of unknown length, which lasts for the cold time of the service. */
        private Long begunAt;
        /** Latest end of a cold period that was stated. */
        private Long statedUntil;
        /** When a new run was first seen, and its age then. */
        private Long runSeenAt;

        private Duration runAge = Duration.ZERO;
        private ColdSign sign;
        private boolean reported;

        private boolean isCold(Duration coldTime, long now) {
            return begunAt != null && now - begunAt < coldTime.toNanos()
                    || statedUntil != null && now - statedUntil < 0
                    || runSeenAt != null && runAge.compareTo(coldTime) < 0 && now - runSeenAt < coldTime.toNanos();
        }

        private boolean isExpired(long now) {
            return !isCold(ColdLimit.MAX_COLD_TIME, now);
        }
    }

    /** Creates a table without signs. */
    public ColdTargets(TimerService timer) {
        this.timer = Objects.requireNonNull(timer, "timer");
    }

    /**
     * Records the signs in a published entry that is new to this instance.
     *
     * @param target the target as published
     * @param before the target as it was known before; empty if it was not
     * @param relisted whether it was known, but not in the list
     */
    public synchronized void onPublished(ForwardTarget target, Optional<ForwardTarget> before, boolean relisted) {
        long now = timer.nanos();
        if (!listBegun) {
            listBegun = true;
            listBegunAt = now;
        }
        boolean otherRun = before.filter(known -> !isSameRun(known, target)).isPresent();
        boolean appeared = before.isEmpty() && now - listBegunAt >= LIST_LEARNING_TIME.toNanos();
        if (target.startedMs() != 0 && (before.isEmpty() || otherRun)) {
            long ageMs = Math.max(0, timer.epochMillis() - target.startedMs());
            if (ageMs < ColdLimit.MAX_COLD_TIME.toMillis()) {
                update(target.id(), ColdSign.NEW_RUN, signs -> {
                    signs.runSeenAt = now;
                    signs.runAge = Duration.ofMillis(ageMs);
                });
            }
        }
        // Without a stated start, the age of another run is unknown.
        if (relisted || appeared || otherRun && target.startedMs() == 0) {
            begin(target.id(), otherRun ? ColdSign.NEW_RUN : ColdSign.LISTED_AGAIN, now);
        }
        if (target.coldMs() > 0) {
            onStated(target.id(), Duration.ofMillis(target.coldMs()), ColdSign.STATED_IN_ENTRY, Step.CONFIGURE);
        }
    }

    private static boolean isSameRun(ForwardTarget a, ForwardTarget b) {
        return a.startedMs() == b.startedMs() && a.address().equals(b.address());
    }

    /** Records what a response of a target says; what cannot be used is logged and changes nothing. */
    public synchronized void onResponse(TargetId target, ColdNotice notice) {
        notice.malformed().ifPresent(reason -> reject(target, Step.SEND, reason));
        notice.left().ifPresent(left -> onStated(target, left, ColdSign.STATED_IN_RESPONSE, Step.SEND));
    }

    private void onStated(TargetId target, Duration left, ColdSign sign, Step step) {
        if (left.compareTo(MAX_STATED) > 0) {
            reject(target, step, "remaining cold time of " + left.toMillis() + " ms is more than a minute");
            return;
        }
        long now = timer.nanos();
        update(target, sign, signs -> {
            boolean continued = signs.statedUntil != null && now - signs.statedUntil < 0;
            // A later statement of the same cold period does not extend it by the cold time of the service.
            if (!continued) {
                signs.begunAt = now;
            }
            long until = now + left.toNanos();
            signs.statedUntil = continued ? Long.valueOf(Math.max(signs.statedUntil, until)) : Long.valueOf(until);
        });
    }

    private static void reject(TargetId target, Step step, String reason) {
        LogEvent.of("cold.rejected")
                .with("target", target)
                .with("step", step)
                .with("reason", reason)
                .warn(LOG);
    }

    /** Records that a target accepts connections again after it could not be reached. */
    public synchronized void onReachableAgain(TargetId target) {
        begin(target, ColdSign.REACHABLE_AGAIN, timer.nanos());
    }

    /** Declares a target cold that returns from an evacuation. */
    public synchronized void onReturned(TargetId target) {
        begin(target, ColdSign.DOMAIN_RETURNED, timer.nanos());
    }

    /** Declares all targets of a failure domain cold that returns from an evacuation. */
    public synchronized void onDomainReturned(FailureDomain domain) {
        long now = timer.nanos();
        purge(now);
        if (byDomain.size() < MAX_TARGETS || byDomain.containsKey(domain)) {
            Signs signs = new Signs();
            signs.begunAt = now;
            signs.sign = ColdSign.DOMAIN_RETURNED;
            byDomain.put(domain, signs);
        }
    }

    private void begin(TargetId target, ColdSign sign, long now) {
        update(target, sign, signs -> signs.begunAt = now);
    }

    private void update(TargetId target, ColdSign sign, Consumer<Signs> change) {
        long now = timer.nanos();
        purge(now);
        Signs signs = byTarget.get(target);
        if (signs == null) {
            if (byTarget.size() >= MAX_TARGETS) {
                reject(target, Step.CONFIGURE, "more than " + MAX_TARGETS + " targets with signs");
                return;
            }
            signs = new Signs();
        }
        synchronized (signs) {
            signs.sign = sign;
            change.accept(signs);
        }
        byTarget.put(target, signs);
    }

    private void purge(long now) {
        if (byTarget.size() + byDomain.size() >= purgeAt) {
            byTarget.values().removeIf(signs -> signs.isExpired(now));
            byDomain.values().removeIf(signs -> signs.isExpired(now));
            purgeAt = Math.max(FIRST_PURGE, 2 * (byTarget.size() + byDomain.size()));
        }
    }

    /** Returns whether a target may be cold now, whatever the limit of its service; fast for the others. */
    boolean hasSigns(ForwardTarget target) {
        return byTarget.containsKey(target.id()) || !byDomain.isEmpty() && byDomain.containsKey(target.failureDomain());
    }

    /** Returns whether a target of a service with the given limit is cold now. */
    public boolean isCold(ForwardTarget target, ColdLimit limit) {
        long now = timer.nanos();
        Signs own = byTarget.get(target.id());
        if (own != null) {
            if (isCold(target, own, limit, now)) {
                return true;
            }
            removeExpired(target.id(), own, limit, now);
        }
        Signs domain = byDomain.get(target.failureDomain());
        return domain != null && isCold(target, domain, limit, now);
    }

    /** Removes signs that have expired, so that {@link #hasSigns} stays fast for targets that were cold once. */
    private synchronized void removeExpired(TargetId target, Signs signs, ColdLimit limit, long now) {
        synchronized (signs) {
            if (!signs.isCold(limit.coldTime(), now)) {
                byTarget.remove(target, signs);
            }
        }
    }

    private static boolean isCold(ForwardTarget target, Signs signs, ColdLimit limit, long now) {
        synchronized (signs) {
            boolean cold = signs.isCold(limit.coldTime(), now);
            if (cold && !signs.reported) {
                LogEvent.of("target.cold")
                        .with("target", target.id())
                        .with("domain", target.failureDomain())
                        .with("sign", signs.sign)
                        .info(LOG);
            }
            signs.reported = cold;
            return cold;
        }
    }
}
