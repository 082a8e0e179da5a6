package org.verbenatally.forward;

import java.util.Objects;

import org.verbenatally.core.Address;
import org.verbenatally.core.FailureDomain;
import org.verbenatally.core.ServiceName;
import org.verbenatally.core.TargetId;

/**
 * A target as the published list describes it.
 *
 * @param id its id; a target that starts again may have the same
 * @param startedMs when this run of it started, in milliseconds since the epoch; 0 if it does not say
 * @param service service it belongs to
 * @param address where it listens
 * @param failureDomain where it runs
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

    /** Checks that the parts are there. */
    public ForwardTarget {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(failureDomain, "failureDomain");
    }

    /** Tells whether two entries are about the same run of a target. */
    boolean isSameRun(ForwardTarget other) {
        return id.equals(other.id) && startedMs == other.startedMs && address.equals(other.address);
    }
}
