package org.verbenatally.peer;

import java.util.Optional;

import org.verbenatally.core.Address;
import org.verbenatally.core.ConfigVersion;
import org.verbenatally.core.FailureDomain;
import org.verbenatally.core.Incarnation;
import org.verbenatally.core.InstanceId;

/**
 * State of an entry instance as seen from this one, which may be the same instance.
 *
 * @param instance id of the instance
 * @param incarnation incarnation of its latest known run
 * @param address address at which it listens for peers
 * @param failureDomain failure domain in which it runs
 * @param status its status as seen from this instance
 * @param configVersion version of the configuration that it has in force
 * @param keySuccessor the instance that took over its idempotency keys, if it transferred them
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
        /** It has announced that it is about to stop. */
        LEAVING,
        /** Its heartbeats are overdue. */
        SUSPECT,
        /** It has left, or its heartbeats are long overdue. */
        GONE
    }
}
