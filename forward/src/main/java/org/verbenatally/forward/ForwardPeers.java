package org.verbenatally.forward;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import org.jboss.logging.Logger;
import org.verbenatally.core.InstanceId;
import org.verbenatally.core.Outcome;
import org.verbenatally.core.Step;
import org.verbenatally.core.StepException;
import org.verbenatally.core.TargetId;
import org.verbenatally.peer.PeerHandler;
import org.verbenatally.wire.DomainEvacuation;
import org.verbenatally.wire.ForwardCall;
import org.verbenatally.wire.ForwardResult;
import org.verbenatally.wire.KeyTransfer;
import org.verbenatally.wire.PublishedTarget;
import org.verbenatally.wire.Suspect;
import org.verbenatally.wire.TargetLoad;
import org.verbenatally.wire.TraitReport;

/**
 * Connects the peer network with the directory and the crash detector. Forwarded requests have no idempotency keys, so
 * no calls are forwarded to peers.
 */
final class ForwardPeers implements PeerHandler {
    private static final Logger LOG = Logger.getLogger(ForwardPeers.class);

    private final TargetDirectory directory;
    private final CrashDetector crashDetector;
    private final Evacuations evacuations;

    ForwardPeers(TargetDirectory directory, CrashDetector crashDetector, Evacuations evacuations) {
        this.evacuations = Objects.requireNonNull(evacuations, "evacuations");
        this.directory = Objects.requireNonNull(directory, "directory");
        this.crashDetector = Objects.requireNonNull(crashDetector, "crashDetector");
    }

    private static <T> CompletableFuture<T> noKeys(InstanceId from) {
        return CompletableFuture.failedFuture(new StepException(
                Step.FORWARD, from.value(), Outcome.NOT_RUN, "this instance issues no idempotency keys"));
    }

    @Override
    public CompletableFuture<ForwardResult> onForwardedCall(InstanceId from, ForwardCall call) {
        return noKeys(from);
    }

    @Override
    public CompletableFuture<Void> onKeyTransfer(InstanceId from, KeyTransfer part) {
        return noKeys(from);
    }

    @Override
    public List<TargetLoad> ownLoads() {
        return directory.ownLoads();
    }

    @Override
    public void onTargetLoads(InstanceId from, List<TargetLoad> loads) {
        directory.updatePeerLoads(from, loads);
    }

    /** Returns no targets: whether a target leaves is part of its published record. */
    @Override
    public Set<TargetId> leavingTargets() {
        return Set.of();
    }

    @Override
    public void onLeavingTargets(InstanceId from, Set<TargetId> targets) {
        if (!targets.isEmpty()) {
            LOG.warnf("peer: %s reports leaving targets outside the published list: %s", from, targets);
        }
    }

    @Override
    public void validatePublished(List<PublishedTarget> published) {
        published.forEach(PublishedTargetCodec::validate);
    }

    @Override
    public void onPublished(List<PublishedTarget> published) {
        directory.applyUpdates(published);
    }

    @Override
    public void onPublishedAge(Duration age) {
        evacuations.onPeerKnows();
        directory.updateAge(age);
    }

    @Override
    public void onEvacuations(List<DomainEvacuation> records) {
        evacuations.applyPeerRecords(records);
    }

    /** Returns nothing while the evacuations are not known, as the peer would take the age for a sign that they are. */
    @Override
    public Optional<Duration> publishedAge() {
        return evacuations.isShared() ? directory.age() : Optional.empty();
    }

    @Override
    public void onTraitReports(List<TraitReport> reports) {
        crashDetector.onTraitReports(reports);
    }

    /** Returns no suspects: what crashes targets follows from the reports on traits. */
    @Override
    public List<Suspect> suspects() {
        return List.of();
    }

    @Override
    public void onSuspects(InstanceId from, List<Suspect> records) {
        LOG.debugf("peer: %s reports %d suspects by an earlier protocol", from, records.size());
    }

    @Override
    public void onPeerGone(InstanceId peer) {
        directory.forgetPeer(peer);
    }
}
