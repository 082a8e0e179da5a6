package org.verbenatally.peer;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import org.verbenatally.core.InstanceId;
import org.verbenatally.core.TargetId;
import org.verbenatally.wire.ForwardCall;
import org.verbenatally.wire.ForwardResult;
import org.verbenatally.wire.KeyTransfer;
import org.verbenatally.wire.PublishedTarget;
import org.verbenatally.wire.Suspect;
import org.verbenatally.wire.TargetLoad;

/** What the entry process supplies to and receives from its peers. Methods must not block. */
public interface PeerHandler {

    /** Runs a call whose idempotency key this instance owns, or completes with a refusal. Never fails. */
    CompletableFuture<ForwardResult> onForward(InstanceId from, ForwardCall call);

    /** Takes one part of a leaving instance's key table; completes when the part is stored. */
    CompletableFuture<Void> onKeyTransfer(InstanceId from, KeyTransfer part);

    /** Returns what this instance has in flight on each target. */
    List<TargetLoad> targetLoads();

    /** Takes what another instance has in flight; replaces what the same instance said before. */
    void onTargetLoads(InstanceId from, List<TargetLoad> loads);

    /** Returns the targets that this instance knows to be leaving. */
    Set<TargetId> leavingTargets();

    /** Takes the targets that a peer knows to be leaving. */
    void onLeavingTargets(InstanceId from, Set<TargetId> targets);

    /** Returns the suspect requests that this instance knows. */
    List<Suspect> suspects();

    /** Takes the suspect requests that a peer knows. */
    void onSuspects(InstanceId from, List<Suspect> suspects);

    /**
     * Checks published entries that a peer passes on.
     *
     * @throws IllegalArgumentException if a field is not valid; the message names it
     */
    default void checkPublished(List<PublishedTarget> entries) {}

    /** Takes published entries that other instances have read and that are newer than what was known. */
    default void onPublished(List<PublishedTarget> entries) {}

    /** Takes the age of a read of the published list, of which all entries that changed have been taken. */
    default void onPublishedAge(Duration age) {}

    /** Returns the age of the newest read of the published list of which all changes are known. */
    default Optional<Duration> publishedAge() {
        return Optional.empty();
    }

    /** Forgets what a peer said, after it has gone. */
    void onGone(InstanceId peer);
}
