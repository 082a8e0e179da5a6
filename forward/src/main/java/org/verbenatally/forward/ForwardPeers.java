package org.verbenatally.forward;

import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import org.verbenatally.core.InstanceId;
import org.verbenatally.core.Outcome;
import org.verbenatally.core.Step;
import org.verbenatally.core.StepException;
import org.verbenatally.core.TargetId;
import org.verbenatally.peer.PeerHandler;
import org.verbenatally.wire.ForwardCall;
import org.verbenatally.wire.ForwardResult;
import org.verbenatally.wire.KeyTransfer;
import org.verbenatally.wire.Suspect;
import org.verbenatally.wire.TargetLoad;

/** Connects the peer network with the directory. Forwarded work has no idempotency keys, so no calls go to peers. */
final class ForwardPeers implements PeerHandler {
    private final TargetDirectory directory;

    ForwardPeers(TargetDirectory directory) {
        this.directory = Objects.requireNonNull(directory, "directory");
    }

    private static <T> CompletableFuture<T> noKeys(InstanceId from) {
        return CompletableFuture.failedFuture(new StepException(
                Step.FORWARD, from.value(), Outcome.NOT_RUN, "this instance issues no idempotency keys"));
    }

    @Override
    public CompletableFuture<ForwardResult> onForward(InstanceId from, ForwardCall call) {
        return noKeys(from);
    }

    @Override
    public CompletableFuture<Void> onKeyTransfer(InstanceId from, KeyTransfer part) {
        return noKeys(from);
    }

    @Override
    public List<TargetLoad> targetLoads() {
        return directory.ownLoads();
    }

    @Override
    public void onTargetLoads(InstanceId from, List<TargetLoad> loads) {
        directory.peerLoads(from, loads);
    }

    @Override
    public Set<TargetId> leavingTargets() {
        return directory.leaving();
    }

    @Override
    public void onLeavingTargets(InstanceId from, Set<TargetId> targets) {
        directory.peerLeaving(from, targets);
    }

    @Override
    public List<Suspect> suspects() {
        return List.of();
    }

    @Override
    public void onSuspects(InstanceId from, List<Suspect> suspects) {}

    @Override
    public void onGone(InstanceId peer) {
        directory.forgetPeer(peer);
    }
}
