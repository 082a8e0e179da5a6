package org.verbenatally.forward.cold;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.verbenatally.core.TargetId;
import org.verbenatally.peer.Rendezvous;
import org.verbenatally.time.TimerService;

/**
 * Decides whether this instance may send one more request to a cold target now, such that the sum over all instances
 * stays within the bound of the target without a message for each request. The known instances divide the budget of
 * each target by rendezvous hashing; each sends at most its share in each sliding window. Safe for use by several
 * threads.
 */
public final class ColdAllowance {
    /**
     * Time in which an instance sends at most its share. It is longer than the second in which the target counts, since
     * one request may take up to a quarter of a second longer to arrive than the next one.
     */
    public static final Duration WINDOW = Duration.ofMillis(1_250);
    /** Largest share of one instance, which bounds the times that are kept for a target. */
    private static final int MAX_SENDS = 1_024;
    /**
     * Windows of targets without recent sends are removed whenever there are more than this, twice the planned number
     * of targets: the position that a window keeps takes a hash for each member.
     */
    private static final int FIRST_PURGE = 8_192;

    /** Permission to send one request to one target. */
    @FunctionalInterface
    public interface Permit {
        /** Permit for a target that is not limited. */
        Permit UNLIMITED = () -> {};

        /** Returns the permission, if nothing was sent or the target has not received the request. */
        void cancel();
    }

    private final TimerService timer;
    private final KnownMembers members;
    private final Map<TargetId, Window> windows = new HashMap<>();
    private int purgeAt = FIRST_PURGE;

    /** Recent sends to a target, and the position of this instance for it in a version of the member table. */
    private static final class Window {
        private final Deque<Long> sends = new ArrayDeque<>(2);
        private long membersVersion = -1;
        private int position;
    }

    /**
     * Creates an allowance without any sends.
     *
     * @param members the instances that the budgets are divided by
     */
    public ColdAllowance(TimerService timer, KnownMembers members) {
        this.timer = Objects.requireNonNull(timer, "timer");
        this.members = Objects.requireNonNull(members, "members");
    }

    /** Returns whether one more request may be sent to a cold target now. */
    public synchronized boolean mayTake(TargetId target, ColdBudget budget) {
        return hasShareLeft(window(target), target, budget);
    }

    /** Takes the permission for one request to a cold target, or returns empty if none is left in this window. */
    public synchronized Optional<Permit> tryTake(TargetId target, ColdBudget budget) {
        Window window = window(target);
        return hasShareLeft(window, target, budget) ? Optional.of(add(window)) : Optional.empty();
    }

    /**
     * Records a request that is sent to a target not known to be cold. It counts if the target turns out to have been
     * cold by then.
     */
    public synchronized Permit record(TargetId target) {
        return add(window(target));
    }

    private Permit add(Window window) {
        Long sent = timer.nanos();
        if (window.sends.size() >= MAX_SENDS) {
            window.sends.removeFirst();
        }
        window.sends.addLast(sent);
        return () -> cancel(window, sent);
    }

    private synchronized void cancel(Window window, Long sent) {
        window.sends.removeLastOccurrence(sent);
    }

    private boolean hasShareLeft(Window window, TargetId target, ColdBudget budget) {
        KnownMembers.Standing standing = members.standing();
        if (standing == KnownMembers.Standing.UNKNOWN) {
            return false;
        }
        if (window.membersVersion != members.version()) {
            window.membersVersion = members.version();
            window.position = Rendezvous.position(target.value(), members.self(), members.ids());
        }
        int share = budget.share(standing, window.position, members.ids().size());
        return window.sends.size() < Math.min(share, MAX_SENDS);
    }

    private Window window(TargetId target) {
        long now = timer.nanos();
        if (windows.size() >= purgeAt) {
            windows.values().removeIf(window -> {
                removeExpired(window, now);
                return window.sends.isEmpty();
            });
            purgeAt = Math.max(FIRST_PURGE, 2 * windows.size());
        }
        Window window = windows.computeIfAbsent(target, id -> new Window());
        removeExpired(window, now);
        return window;
    }

    private static void removeExpired(Window window, long now) {
        while (!window.sends.isEmpty() && now - window.sends.peekFirst() >= WINDOW.toNanos()) {
            window.sends.removeFirst();
        }
    }
}
