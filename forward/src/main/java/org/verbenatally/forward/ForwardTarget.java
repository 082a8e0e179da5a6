package org.verbenatally.forward;

import java.util.Objects;

import org.verbenatally.core.Address;
import org.verbenatally.core.FailureDomain;
import org.verbenatally.core.ServiceName;
import org.verbenatally.core.TargetId;

/**
 * A target as described in the published list.
 *
 * @param id its id; a target that restarts may have the same
 * @param startedMs when this run of the target started, in milliseconds since the epoch; 0 if it is not stated
 * @param service service that it belongs to
 * @param address address that it listens on
 * @param failureDomain failure domain that it runs in
 * @param slots requests that it serves at once
 * @param leaving whether it must get no new work
 * @param coldMs how much longer it is slow after its start, in milliseconds
 */
public record ForwardTarget(
        TargetId id,
        long startedMs,
        ServiceName service,
        Address address,
        FailureDomain failureDomain,
        int slots,
        boolean leaving,
        long coldMs) {

    /**
     * Checks the components.
     *
     * @throws IllegalArgumentException if a number is negative
     */
    public ForwardTarget {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(failureDomain, "failureDomain");
        if (startedMs < 0 || slots < 0 || coldMs < 0) {
            throw new IllegalArgumentException("target " + id + ": start, slots and cold time must not be negative");
        }
    }

    /** Returns the same description of the target, but leaving. */
    ForwardTarget asLeaving() {
        return new ForwardTarget(id, startedMs, service, address, failureDomain, slots, true, coldMs);
    }

    /** Returns the run of the target that is described. */
    public TargetRun run() {
        return new TargetRun(id, startedMs, address);
    }

    /** Returns whether both descriptions are of the same target, with no restart in between. */
    boolean isSameRun(ForwardTarget other) {
        return run().equals(other.run());
    }
}
