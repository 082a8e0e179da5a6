package org.verbenatally.entry;

import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import org.verbenatally.core.InstanceId;
import org.verbenatally.core.TargetId;
import org.verbenatally.entry.key.KeyedCalls;
import org.verbenatally.peer.PeerHandler;
import org.verbenatally.policy.CrashReporter;
import org.verbenatally.policy.SuspectTable;
import org.verbenatally.policy.TargetTable;
import org.verbenatally.wire.ForwardCall;
import org.verbenatally.wire.ForwardResult;
import org.verbenatally.wire.KeyTransfer;
import org.verbenatally.wire.Suspect;
import org.verbenatally.wire.TargetLoad;
import org.verbenatally.wire.TraitReport;

/** Connects the peer network to the tables of this entry. */
final class PeerBridge implements PeerHandler {
    private final TargetTable targets;
    private final SuspectTable suspects;
    private final CrashReporter crashes;
    private final CompletableFuture<KeyedCalls> keyedCalls = new CompletableFuture<>();

    PeerBridge(TargetTable targets, SuspectTable suspects, CrashReporter crashes) {
        this.targets = Objects.requireNonNull(targets, "targets");
        this.suspects = Objects.requireNonNull(suspects, "suspects");
        this.crashes = Objects.requireNonNull(crashes, "crashes");
    }

    /**
     * Sets the handler of keyed calls, which itself needs the peer network. Forwarded calls and key transfers that
     * arrive earlier wait for it.
     */
    void setKeyedCalls(KeyedCalls calls) {
        keyedCalls.complete(calls);
    }

    @Override
    public CompletableFuture<ForwardResult> onForwardedCall(InstanceId from, ForwardCall call) {
        return keyedCalls.thenCompose(calls -> calls.onForward(from, call));
    }

    @Override
    public CompletableFuture<Void> onKeyTransfer(InstanceId from, KeyTransfer part) {
        return keyedCalls.thenAccept(calls -> calls.store().adopt(from, part));
    }

    @Override
    public List<TargetLoad> ownLoads() {
        return targets.ownLoads();
    }

    @Override
    public void onTargetLoads(InstanceId from, List<TargetLoad> loads) {
        targets.setPeerLoads(from, loads);
    }

    @Override
    public Set<TargetId> leavingTargets() {
        return targets.firstHandLeaving();
    }

    @Override
    public void onLeavingTargets(InstanceId from, Set<TargetId> leaving) {
        targets.setPeerLeaving(from, leaving);
    }

    @Override
    public List<Suspect> suspects() {
        return suspects.suspects();
    }

    @Override
    public void onSuspects(InstanceId from, List<Suspect> reported) {
        suspects.mergePeerSuspects(from, reported);
    }

    @Override
    public void onTraitReports(List<TraitReport> reports) {
        crashes.receive(reports);
    }

    @Override
    public void onPeerGone(InstanceId peer) {
        targets.removePeer(peer);
        suspects.removePeer(peer);
    }
}
