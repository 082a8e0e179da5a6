package org.verbenatally.peer;

import java.util.Optional;

import org.verbenatally.core.Address;
import org.verbenatally.core.ConfigVersion;
import org.verbenatally.core.FailureDomain;
import org.verbenatally.core.Incarnation;
import org.verbenatally.core.InstanceId;

/**
 * What this entry knows of an entry instance, itself included.
 *
 * @param instance its id
 * @param incarnation its run
 * @param address where it listens for peers
 * @param failureDomain where it runs
 * @param status its status as seen from here
 * @param configVersion the configuration it has in force
 * @param keySuccessor the instance that took over its idempotency keys, if it handed them over
 */
public record MemberInfo(
        InstanceId instance,
        Incarnation incarnation,
        Address address,
        FailureDomain failureDomain,
        Status status,
        ConfigVersion configVersion,
        Optional<InstanceId> keySuccessor) {

    /** The status of a member. */
    public enum Status {
        /** Its heartbeats arrive. */
        LIVE,
        /** It has said that it is about to stop. */
        LEAVING,
        /** Its heartbeats are overdue. */
        SUSPECT,
        /** It has left, or its heartbeats are long overdue. */
        GONE
    }
}
