package org.verbenatally.forward;

import java.util.Objects;

import org.verbenatally.core.Address;
import org.verbenatally.core.TargetId;

/**
 * One run of a target, which ends when the target restarts or moves. Another target may get its address.
 *
 * @param id id of the target, which a restarted one may keep
 * @param startedMs when the run started, in milliseconds since the epoch; 0 if it is not stated
 * @param address address that it listens on
 */
public record TargetRun(TargetId id, long startedMs, Address address) {

    /** Checks that no component is {@code null}. */
    public TargetRun {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(address, "address");
    }
}
