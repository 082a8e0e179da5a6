package org.verbenatally.forward;

import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

import org.verbenatally.core.Address;
import org.verbenatally.core.FailureDomain;
import org.verbenatally.core.ServiceName;
import org.verbenatally.core.SourceRevision;
import org.verbenatally.core.TargetId;

/** Published targets for tests. */
final class Targets {
    static final ServiceName SERVICE = new ServiceName("service");
    static final FailureDomain HERE = new FailureDomain("here");

    /** Epoch of the lists that are read. */
    static final long EPOCH = 1;

    private static final AtomicLong REVISION = new AtomicLong();

    private Targets() {}

    /** Returns the targets as a list that was read later than all before, in which each target was written just now. */
    static PublishedList list(List<ForwardTarget> targets) {
        return list(new SourceRevision(EPOCH, REVISION.incrementAndGet()), targets);
    }

    /** Returns the targets as a list that was read at a revision at which each of them was written. */
    static PublishedList list(SourceRevision revision, List<ForwardTarget> targets) {
        return new PublishedList(
                revision,
                targets.stream().map(t -> new PublishedList.Target(t, revision)).toList());
    }

    static ForwardTarget ready(String id) {
        return target(id, "here", false);
    }

    static ForwardTarget leaving(String id) {
        return target(id, "here", true);
    }

    static ForwardTarget in(String domain, String id) {
        return target(id, domain, false);
    }

    private static ForwardTarget target(String id, String domain, boolean leaving) {
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
