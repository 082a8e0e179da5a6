package org.verbenatally.forward.cold;

import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;

import org.verbenatally.core.ServiceName;
import org.verbenatally.forward.ForwardTarget;
import org.verbenatally.forward.ServiceSpec.ColdLimit;

/**
 * The facade of this package: decides for each selection and each send whether a target is cold and whether this
 * instance may send to it. Without a margin in the settings, or a limit of the service, every send is permitted. Safe
 * for use by several threads.
 */
public final class ColdTargetLimiter {
    private final ColdTargets targets;
    private final ColdAllowance allowance;
    private final Optional<ColdMargin> margin;
    private final Function<ServiceName, Optional<ColdLimit>> limits;
    private final Runnable onSkip;

    /**
     * Creates a limiter.
     *
     * @param targets the targets with signs of being cold
     * @param allowance sends of this instance
     * @param margin how far the limits may be exceeded; empty if cold targets are not limited
     * @param limits returns the limit of a service, empty if it has none
     * @param onSkip called whenever a cold target is passed over in a selection or at a send, to be counted
     */
    public ColdTargetLimiter(
            ColdTargets targets,
            ColdAllowance allowance,
            Optional<ColdMargin> margin,
            Function<ServiceName, Optional<ColdLimit>> limits,
            Runnable onSkip) {
        this.targets = Objects.requireNonNull(targets, "targets");
        this.allowance = Objects.requireNonNull(allowance, "allowance");
        this.margin = Objects.requireNonNull(margin, "margin");
        this.limits = Objects.requireNonNull(limits, "limits");
        this.onSkip = Objects.requireNonNull(onSkip, "onSkip");
    }

    /** Returns the signs, for the parts that find them. */
    public ColdTargets targets() {
        return targets;
    }

    private Optional<ColdLimit> limit(ForwardTarget target) {
        return margin.isEmpty() ? Optional.empty() : limits.apply(target.service());
    }

    private ColdBudget budget(ColdLimit limit) {
        return ColdBudget.of(limit.perSecond(), margin.orElseThrow());
    }

    /** Returns whether a target is cold and limited. */
    public boolean isLimited(ForwardTarget target) {
        return targets.hasSigns(target)
                && limit(target).filter(limit -> targets.isCold(target, limit)).isPresent();
    }

    /** Returns whether a request may be sent to a target now; takes nothing. */
    public boolean maySend(ForwardTarget target) {
        if (margin.isEmpty() || !targets.hasSigns(target)) {
            return true;
        }
        Optional<ColdLimit> limit = limit(target);
        boolean permitted = limit.isEmpty()
                || !targets.isCold(target, limit.get())
                || allowance.mayTake(target.id(), budget(limit.get()));
        if (!permitted) {
            onSkip.run();
        }
        return permitted;
    }

    /**
     * Takes the permission to send one request, as the last step before the send; empty if the target is cold and this
     * instance has no share of it left.
     */
    public Optional<ColdAllowance.Permit> tryAcquire(ForwardTarget target) {
        Optional<ColdLimit> limit = limit(target);
        if (limit.isEmpty()) {
            return Optional.of(ColdAllowance.Permit.UNLIMITED);
        }
        if (!targets.isCold(target, limit.get())) {
            return Optional.of(allowance.record(target.id()));
        }
        Optional<ColdAllowance.Permit> permit = allowance.tryTake(target.id(), budget(limit.get()));
        if (permit.isEmpty()) {
            onSkip.run();
        }
        return permit;
    }
}
