package org.verbenatally.forward;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

import org.verbenatally.core.TargetId;

/**
 * Decides when and where a generation starts: at once where it can be on time, else after a short wait, else as filling
 * work that yields to others, and not at all where it would only wait in vain.
 */
final class EngineAdmission {
    /** Part of its objective that a generation waits for an engine; its caller learns soon that it must come back. */
    private static final int PATIENCE_PART = 8;
    /** Time kept for the network and for the other generations of the engine, besides the reading of prompts. */
    private static final Duration START_MARGIN = Duration.ofMillis(200);
    /** Room that comes with time alone, such as the end of a suspension, is looked for in this period. */
    private static final Duration ROOM_CHECK = Duration.ofMillis(100);

    /**
     * Part of the time left after which a refused caller is asked to come back. Room for a long generation comes with
     * the end of others, or with an engine that replaces one, both of which take seconds; a caller that comes back
     * sooner is refused again.
     */
    private static final int COME_BACK_PART = 8;

    /** One generation of an engine ends about each second. */
    private static final Duration SOONEST_COME_BACK = Duration.ofMillis(750);
    /** An engine is replaced within about this time. */
    private static final Duration LATEST_COME_BACK = Duration.ofSeconds(5);
    /** Callers that were refused together come back spread over this part of the time. */
    private static final int SPREAD_PART = 2;
    /** Callers do not wait longer than this part of the time left. */
    private static final int LONGEST_PART = 3;

    private final ForwardParts parts;

    /**
     * Where a generation starts.
     *
     * @param row the engine
     * @param urgency its rank there
     */
    record Admitted(TargetRow row, Urgency urgency) {}

    EngineAdmission(ForwardParts parts) {
        this.parts = Objects.requireNonNull(parts, "parts");
    }

    /**
     * Returns when a caller that was refused should come back.
     *
     * @param left how long its answer is of use
     */
    static Duration comeBackAfter(Duration left) {
        long part = left.toMillis() / COME_BACK_PART;
        long base = Math.clamp(part, SOONEST_COME_BACK.toMillis(), LATEST_COME_BACK.toMillis());
        long spread = ThreadLocalRandom.current().nextLong(base / SPREAD_PART);
        return Duration.ofMillis(Math.clamp(base + spread, 0, Math.max(0, left.toMillis() / LONGEST_PART)));
    }

    /** Returns the engine for a generation, after waiting shortly for room; empty if all are too full. */
    Optional<Admitted> await(ForwardedRequest r, Generation generation, CallerExchange caller, Set<TargetId> exclude) {
        long start = parts.timer().nanos();
        Duration patience = r.route().objective().dividedBy(PATIENCE_PART);
        WaitingLine.Place place =
                parts.line().enter(r.service().name(), r.route().priority(), start + patience.toNanos());
        if (place == null) {
            return Optional.empty();
        }
        try {
            while (!caller.isGone()) {
                Duration waited = Duration.ofNanos(parts.timer().nanos() - start);
                boolean patient = waited.compareTo(patience) <= 0;
                if (!patient || parts.line().isNext(r.service().name(), place)) {
                    Optional<TargetRow> row = parts.chooser().engine(r.service(), generation, exclude);
                    if (row.isEmpty() || mayStart(r, generation, row.get(), waited)) {
                        return row.map(engine -> new Admitted(engine, Urgency.NORMAL));
                    }
                    if (!patient) {
                        double share = parts.chooser().fillingShare(r.service().name());
                        return row.filter(engine -> parts.chooser().hasRoom(r.service(), generation, engine, share))
                                .map(engine -> new Admitted(engine, Urgency.FILLING));
                    }
                }
                Duration rest = patience.minus(waited);
                parts.line().await(place, patient && rest.compareTo(ROOM_CHECK) < 0 ? rest : ROOM_CHECK);
            }
            return Optional.empty();
        } finally {
            parts.line().leave(r.service().name(), place);
        }
    }

    /** Tells whether an engine has the memory for a generation, and can read its prompt in time. */
    private boolean mayStart(ForwardedRequest r, Generation generation, TargetRow row, Duration waited) {
        Duration limit = r.route().objective().minus(waited).minus(START_MARGIN);
        // Short generations end before they would have to move.
        double share =
                generation.isLong() ? parts.chooser().newWorkShare(r.service().name()) : TargetChooser.PLANNED_MEMORY;
        return parts.chooser().hasRoom(r.service(), generation, row, share)
                && parts.chooser().readTime(row, generation).compareTo(limit) <= 0;
    }
}
