package org.verbenatally.entry;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.verbenatally.core.Incarnation;
import org.verbenatally.core.InstanceId;
import org.verbenatally.core.Outcome;
import org.verbenatally.core.Step;
import org.verbenatally.core.StepException;
import org.verbenatally.peer.MemberInfo;
import org.verbenatally.peer.PeerNetwork;
import org.verbenatally.wire.ForwardCall;
import org.verbenatally.wire.ForwardResult;
import org.verbenatally.wire.KeyTransfer;

/** A network without peers. */
record LoneNetwork(InstanceId self, Incarnation incarnation) implements PeerNetwork {

    @Override
    public List<MemberInfo> members() {
        return List.of();
    }

    @Override
    public CompletableFuture<ForwardResult> forward(
            InstanceId owner, Incarnation run, ForwardCall call, Duration timeout) {
        return CompletableFuture.failedFuture(
                new StepException(Step.FORWARD, owner.value(), Outcome.UNKNOWN, "the owner cannot be reached"));
    }

    @Override
    public CompletableFuture<Void> transferKeys(InstanceId successor, List<KeyTransfer> parts, Duration timeout) {
        return CompletableFuture.failedFuture(
                new StepException(Step.FORWARD, successor.value(), Outcome.UNKNOWN, "there is no successor"));
    }

    @Override
    public void announceKeySuccessor(InstanceId successor) {
        // There is nobody to tell.
    }

    @Override
    public void leave() {
        // There is nobody to tell.
    }

    @Override
    public void push() {
        // There is nobody to tell.
    }

    @Override
    public CompletableFuture<Void> close() {
        return CompletableFuture.completedFuture(null);
    }
}
