package org.verbenatally.forward;

import java.util.Optional;

import org.verbenatally.core.Address;
import org.verbenatally.core.FailureDomain;
import org.verbenatally.core.ServiceName;
import org.verbenatally.core.SourceRevision;
import org.verbenatally.core.TargetId;
import org.verbenatally.wire.PublishedTarget;
import org.verbenatally.wire.TargetEntry;

/** Converts published targets to and from the records in which instances pass them on. */
final class PublishedTargetCodec {
    private PublishedTargetCodec() {}

    /** Encodes the record of a target whose present run has announced its departure. */
    static PublishedTarget encodeDeparting(ForwardTarget target, SourceRevision revision) {
        PublishedTarget published = encode(target.asLeaving(), revision);
        published.getEntry().setDeparting(true);
        return published;
    }

    /** Returns whether a record states that the present run of its target has announced its departure. */
    static boolean isDeparting(PublishedTarget published) {
        return published.getEntry() != null && published.getEntry().isDeparting();
    }

    static PublishedTarget encode(ForwardTarget target, SourceRevision revision) {
        return encodeRemoval(target.id(), revision)
                .setEntry(new TargetEntry(
                        target.service().value(),
                        target.address().host(),
                        target.address().port(),
                        target.failureDomain().value(),
                        target.slots(),
                        target.leaving(),
                        target.startedMs(),
                        target.coldMs()));
    }

    static PublishedTarget encodeRemoval(TargetId id, SourceRevision revision) {
        var published = new PublishedTarget(id.value(), revision.number());
        return revision.epoch() == 0 ? published : published.setEpoch(revision.epoch());
    }

    /**
     * Returns the revision of a record.
     *
     * @throws IllegalArgumentException if the epoch is not valid
     */
    static SourceRevision revision(PublishedTarget published) {
        return new SourceRevision(published.getEpoch(), published.getRevision());
    }

    /**
     * Checks a record from a peer.
     *
     * @throws IllegalArgumentException if a field is not valid; the message names it
     */
    static void validate(PublishedTarget published) {
        revision(published);
        decode(published);
    }

    /**
     * Returns the target of a record, or empty if it is no longer published or its entry is not valid: instances of
     * different versions may differ in the entries that they accept, and such a record must not close their link.
     *
     * @throws IllegalArgumentException if the id of the target is not valid
     */
    static Optional<ForwardTarget> decode(PublishedTarget published) {
        TargetId id = new TargetId(published.getTarget());
        try {
            return Optional.ofNullable(published.getEntry())
                    .map(e -> new ForwardTarget(
                            id,
                            e.getStartedMs(),
                            new ServiceName(e.getServiceName()),
                            new Address(e.getHost(), e.getPort()),
                            new FailureDomain(e.getFailureDomain()),
                            e.getSlots(),
                            e.isLeaving(),
                            e.getColdMs()));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
