package org.verbenatally.peer;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.verbenatally.core.Incarnation;
import org.verbenatally.core.InstanceId;
import org.verbenatally.wire.ForwardCall;
import org.verbenatally.wire.ForwardResult;
import org.verbenatally.wire.KeyTransfer;

/** The entry instance's view of its peers and its links to them. The entry process owns one. */
public interface PeerNetwork {

    /** Returns the id of this instance. */
    InstanceId self();

    /** Returns the run of this instance. */
    Incarnation incarnation();

    /** Returns all known members, this instance included. */
    List<MemberInfo> members();

    /**
     * Sends a call to the instance that owns its key, or to that owner's key successor.
     *
     * @return the owner's result; fails with a {@link org.verbenatally.core.StepException} with outcome {@code UNKNOWN}
     *     if the owner cannot be reached, is another incarnation without a successor, or does not answer in time
     */
    CompletableFuture<ForwardResult> forward(InstanceId owner, Incarnation run, ForwardCall call, Duration timeout);

    /** Sends a key table to a successor; completes when the successor has confirmed the last part. */
    CompletableFuture<Void> transferKeys(InstanceId successor, List<KeyTransfer> parts, Duration timeout);

    /** Tells peers which instance has taken over this instance's keys. */
    void announceKeySuccessor(InstanceId successor);

    /** Tells whether the given run is known to have announced this run of this instance as its key successor. */
    boolean isKeySuccessorOf(InstanceId owner, Incarnation run);

    /** Marks this instance as leaving and tells the peers at once. */
    void leave();

    /** Sends the current state to all neighbours at once; for changes that must not wait for the next period. */
    void push();

    /** Closes all links. */
    CompletableFuture<Void> close();
}
