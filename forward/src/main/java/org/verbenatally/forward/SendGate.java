package org.verbenatally.forward;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;

import org.verbenatally.core.Outcome;
import org.verbenatally.core.Step;
import org.verbenatally.core.StepException;
import org.verbenatally.forward.cold.ColdAllowance;
import org.verbenatally.forward.cold.ColdTargetLimiter;
import org.verbenatally.forward.pause.RequestedPauses;

/**
 * Decides whether this instance may send a request to a target now, by the limits that targets state in their
 * responses. It is asked for requests of callers, their continuations and orders alike. Safe for use by several
 * threads.
 */
final class SendGate {
    /** Share of a pause by which the return of a caller is put off at most. */
    private static final double RETURN_SPREAD = 0.2;

    private final ColdTargetLimiter coldTargets;
    private final RequestedPauses pauses;
    private final ForwardMetrics metrics;

    SendGate(ColdTargetLimiter coldTargets, RequestedPauses pauses, ForwardMetrics metrics) {
        this.coldTargets = Objects.requireNonNull(coldTargets, "coldTargets");
        this.pauses = Objects.requireNonNull(pauses, "pauses");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
    }

    /** Permission to send one request to one target, to be closed when its response or its failure is known. */
    final class Permit implements AutoCloseable {
        private final ForwardTarget target;
        private final ColdAllowance.Permit coldPermit;
        private final RequestedPauses.Permit pausePermit;

        private Permit(ForwardTarget target, ColdAllowance.Permit coldPermit, RequestedPauses.Permit pausePermit) {
            this.target = target;
            this.coldPermit = coldPermit;
            this.pausePermit = pausePermit;
        }

        /** Reads what the response that belongs to the request says about the limits of the target. */
        void onResponse(ResponseHead head) {
            if (head.isMisdirected()) {
                coldPermit.cancel();
            } else if (head.isRefusal()) {
                pauses.onRefused(target, head.pause());
                head.pause().malformed().ifPresent(reason -> metrics.countDecision("pause malformed"));
            } else {
                pauses.onAccepted(target);
            }
            coldTargets.targets().onResponse(target.id(), head.cold());
        }

        @Override
        public void close() {
            pausePermit.end();
        }
    }

    /** Returns whether a request may be sent to a target now; takes nothing. */
    boolean maySend(ForwardTarget target) {
        return pauses.maySend(target) && coldTargets.maySend(target);
    }

    /**
     * Takes the permission to send one request, as the last step before the send.
     *
     * @param exchange the exchange that the request is to be sent in, released if there is no permission
     * @throws StepException with outcome {@code NOT_RUN} if the request must not be sent now
     */
    Permit acquire(ForwardTarget target, TargetExchange exchange) {
        try {
            return acquire(target);
        } catch (StepException e) {
            exchange.release();
            throw e;
        }
    }

    private Permit acquire(ForwardTarget target) {
        RequestedPauses.Permit pausePermit =
                pauses.tryAcquire(target).orElseThrow(() -> notSent(target, "target has asked for a pause"));
        Optional<ColdAllowance.Permit> coldPermit = coldTargets.tryAcquire(target);
        if (coldPermit.isEmpty()) {
            pausePermit.end();
            throw notSent(target, "target is cold");
        }
        return new Permit(target, coldPermit.get(), pausePermit);
    }

    private static StepException notSent(ForwardTarget target, String reason) {
        return new StepException(Step.SEND, target.id().value(), Outcome.NOT_RUN, reason);
    }

    /** Records that a target that could not be reached has accepted a connection. */
    void onReachableAgain(ForwardTarget target) {
        coldTargets.targets().onReachableAgain(target.id());
    }

    /** Returns whether a target has not asked for a pause that goes on. */
    boolean wantsRequests(ForwardTarget target) {
        return pauses.remaining(target).isZero();
    }

    /** Returns the time until the first of some targets wants requests; zero if one does, or if there are none. */
    Duration pauseLeft(List<TargetState> targets) {
        return targets.stream()
                .map(state -> pauses.remaining(state.target()))
                .min(Comparator.naturalOrder())
                .orElse(Duration.ZERO);
    }

    /**
     * Returns the delay after which a refused caller should return.
     *
     * @param targets the targets of the service
     * @param delay the delay while some target wants requests
     */
    Duration retryAfter(List<TargetState> targets, Duration delay) {
        Duration pause = pauseLeft(targets);
        // Spread, so that the callers do not all return at the same moment.
        double factor = 1 + RETURN_SPREAD * ThreadLocalRandom.current().nextDouble();
        Duration spread = Duration.ofNanos((long) (pause.toNanos() * factor));
        return spread.compareTo(delay) > 0 ? spread : delay;
    }
}
