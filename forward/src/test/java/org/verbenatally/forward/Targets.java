package org.verbenatally.forward;

import org.verbenatally.core.Address;
import org.verbenatally.core.FailureDomain;
import org.verbenatally.core.ServiceName;
import org.verbenatally.core.TargetId;

/** Published entries of the tests. */
final class Targets {
    static final ServiceName SERVICE = new ServiceName("service");
    static final FailureDomain HERE = new FailureDomain("here");

    private Targets() {}

    static ForwardTarget ready(String id) {
        return entry(id, "here", false);
    }

    static ForwardTarget leaving(String id) {
        return entry(id, "here", true);
    }

    static ForwardTarget in(String domain, String id) {
        return entry(id, domain, false);
    }

    private static ForwardTarget entry(String id, String domain, boolean leaving) {
        return new ForwardTarget(
                new TargetId(id),
                1,
                SERVICE,
                new Address("127.0.0.1", 1_000 + Math.floorMod(id.hashCode(), 60_000)),
                new FailureDomain(domain),
                6,
                leaving,
                0);
    }
}
