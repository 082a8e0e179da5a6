package org.verbenatally.peer;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import org.verbenatally.core.InstanceId;
import org.verbenatally.core.TargetId;
import org.verbenatally.wire.DomainEvacuation;
import org.verbenatally.wire.ForwardCall;
import org.verbenatally.wire.ForwardResult;
import org.verbenatally.wire.KeyTransfer;
import org.verbenatally.wire.PublishedTarget;
import org.verbenatally.wire.Suspect;
import org.verbenatally.wire.TargetLoad;
import org.verbenatally.wire.TraitReport;

/** Supplies the state of the entry process to its peers and receives theirs. Methods must not block. */
public interface PeerHandler {

    /**
     * Runs a call whose idempotency key this instance owns, or completes with a rejection. Never completes
     * exceptionally.
     */
    CompletableFuture<ForwardResult> onForwardedCall(InstanceId from, ForwardCall call);

    /** Receives one part of a leaving instance's key table; completes when the part is stored. */
    CompletableFuture<Void> onKeyTransfer(InstanceId from, KeyTransfer part);

    /** Returns the in-flight load of this instance on each target. */
    List<TargetLoad> ownLoads();

    /** Receives the in-flight load of another instance, which replaces its previous report. */
    void onTargetLoads(InstanceId from, List<TargetLoad> loads);

    /** Returns the targets that this instance knows to be leaving. */
    Set<TargetId> leavingTargets();

    /** Receives the targets that a peer knows to be leaving; replaces its previous report. */
    void onLeavingTargets(InstanceId from, Set<TargetId> targets);

    /** Returns the suspect requests known to this instance. */
    List<Suspect> suspects();

    /** Receives new and changed suspect requests from a peer. */
    void onSuspects(InstanceId from, List<Suspect> suspects);

    /**
     * Checks published targets that a peer passes on.
     *
     * @throws IllegalArgumentException if a field is invalid; the message names it
     */
    default void validatePublished(List<PublishedTarget> targets) {}

    /** Receives published targets that other instances have read and that are newer than those known here. */
    default void onPublished(List<PublishedTarget> targets) {}

    /**
     * Receives the age of a read of the published list, after all targets changed by that read and all evacuations that
     * the peer knows have been received.
     */
    default void onPublishedAge(Duration age) {}

    /** Returns the age of the newest read of the published list of which this instance knows all changes, if any. */
    default Optional<Duration> publishedAge() {
        return Optional.empty();
    }

    /**
     * Receives evacuations of failure domains that other instances have read and that are newer than those known here.
     * Those of a frame are received before its published targets.
     */
    default void onEvacuations(List<DomainEvacuation> evacuations) {}

    /** Receives new reports of other instances on the traits of requests. */
    default void onTraitReports(List<TraitReport> reports) {}

    /** Discards the state reported by a peer that is gone. */
    void onPeerGone(InstanceId peer);
}
