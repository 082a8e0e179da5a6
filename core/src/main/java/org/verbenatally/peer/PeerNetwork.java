package org.verbenatally.peer;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.verbenatally.core.Incarnation;
import org.verbenatally.core.InstanceId;
import org.verbenatally.wire.ForwardCall;
import org.verbenatally.wire.ForwardResult;
import org.verbenatally.wire.KeyTransfer;

/** An entry instance's view of its peers, and its links to them. There is one per entry process. */
public interface PeerNetwork {

    /** Returns the id of this instance. */
    InstanceId self();

    /** Returns the incarnation of this run of the instance. */
    Incarnation incarnation();

    /** Returns all known members, this instance included. */
    List<MemberInfo> members();

    /**
     * Forwards a call to the instance that owns its key, or to that owner's key successor.
     *
     * @return the owner's result; fails with a {@link org.verbenatally.core.StepException} with outcome {@code UNKNOWN}
     *     if the owner cannot be reached, runs as another incarnation without a successor, or does not respond in time
     */
    CompletableFuture<ForwardResult> forward(InstanceId owner, Incarnation run, ForwardCall call, Duration timeout);

    /** Transfers a key table to a successor; completes when the successor has acknowledged the last part. */
    CompletableFuture<Void> transferKeys(InstanceId successor, List<KeyTransfer> parts, Duration timeout);

    /**
     * Announces to the peers which instance has taken over this instance's keys.
     *
     * @throws IllegalArgumentException if the successor is not a known member
     */
    void announceKeySuccessor(InstanceId successor);

    /** Returns whether the given run is known to have announced this run of this instance as its key successor. */
    boolean isKeySuccessorOf(InstanceId owner, Incarnation run);

    /** Marks this instance as leaving and notifies the peers immediately. */
    void announceLeaving();

    /** Sends the current state to all neighbours immediately, for changes that must not wait for the next period. */
    void sendStateNow();

    /** Notifies the peers that this instance has left and closes all links. */
    CompletableFuture<Void> close();
}
