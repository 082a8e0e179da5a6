package org.verbenatally.entry.key;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import com.dynatrace.hash4j.hashing.Hashing;
import org.jboss.logging.Logger;
import org.verbenatally.core.InstanceId;
import org.verbenatally.core.KindName;
import org.verbenatally.core.OrganisationId;
import org.verbenatally.core.Outcome;
import org.verbenatally.core.Step;
import org.verbenatally.core.StepException;
import org.verbenatally.peer.PeerNetwork;
import org.verbenatally.time.TimerService;
import org.verbenatally.wire.ForwardCall;
import org.verbenatally.wire.ForwardResult;

/**
 * Handles calls with idempotency keys: decides about the keys that this instance owns and forwards all other calls to
 * the owners of their keys. Only the owner may report that a call was not run. Safe for use by several threads.
 */
public final class KeyedCalls {
    /** Maximum size in bytes of the body of a keyed call; a forwarded call must fit into one frame between entries. */
    public static final int MAX_BODY_BYTES = 960 * 1024;

    private static final Logger LOG = Logger.getLogger(KeyedCalls.class);
    /** Time beyond the call's own deadline that is allowed for the round trip to the owner. */
    private static final Duration FORWARD_MARGIN = Duration.ofMillis(500);

    /**
     * Interval at which the announcement of a transfer is checked for. It is sent on the same link as the table and
     * arrives within milliseconds.
     */
    private static final Duration ANNOUNCEMENT_POLL_INTERVAL = Duration.ofMillis(50);

    private static final int MAX_ANNOUNCEMENT_POLLS = 20;

    private final KeyIssuer issuer;
    private final KeyStore store;
    private final KeyedCallRunner runner;
    private final PeerNetwork peers;
    private final TimerService timer;
    private final AtomicLong callIds = new AtomicLong();

    /**
     * Creates the handler of keyed calls for this incarnation.
     *
     * @param issuer issues the keys of this incarnation
     * @param runner runs a call once its key is recorded
     * @param peers links to the owners of all other keys
     * @param timer timer service
     */
    public KeyedCalls(KeyIssuer issuer, KeyedCallRunner runner, PeerNetwork peers, TimerService timer) {
        this.issuer = Objects.requireNonNull(issuer, "issuer");
        this.runner = Objects.requireNonNull(runner, "runner");
        this.peers = Objects.requireNonNull(peers, "peers");
        this.timer = Objects.requireNonNull(timer, "timer");
        this.store = new KeyStore(issuer, timer, peers);
        timer.every(Duration.ofSeconds(10), tick -> store.evictExpired());
    }

    /** Returns the store of the key tables. */
    public KeyStore store() {
        return store;
    }

    /** Issues a key; returns empty if this instance is leaving or holds too many used keys. */
    public Optional<String> issue(OrganisationId organisation, KindName kind) {
        return store.ownUsedKeyCount() >= KeyTable.MAX_KEYS_FOR_ISSUING
                ? Optional.empty()
                : issuer.issue(organisation, kind);
    }

    /** Stops issuing keys. */
    public void stopIssuing() {
        issuer.stop();
    }

    /** Runs a call, or returns the result of an earlier call with the same key. The future never fails. */
    public CompletableFuture<CallResult> call(KeyedCallRunner.KeyedCall call) {
        return call(call, true);
    }

    private CompletableFuture<CallResult> call(KeyedCallRunner.KeyedCall call, boolean mayForward) {
        Optional<IdempotencyKey> parsed = IdempotencyKey.parse(call.key());
        if (parsed.isEmpty()) {
            return completed(notRun("the text is not an idempotency key"));
        }
        IdempotencyKey key = parsed.get();
        if (!key.kind().equals(call.kind()) || key.organisationHash() != IdempotencyKey.hash(call.organisation())) {
            return completed(notRun("the key was issued for another organisation or kind"));
        }
        return store.<CompletableFuture<CallResult>>withLocation(
                key.owner(), key.incarnation(), location -> switch (location) {
                    case KeyStore.Local local -> claim(local.table(), key, call);
                    case KeyStore.Transferring transferring ->
                        transferring.end().thenCompose(end -> call(call, mayForward));
                    case KeyStore.Transferred transferred ->
                        mayForward
                                ? forward(transferred.successor(), key, call)
                                : completed(unknown(
                                        Step.FORWARD,
                                        transferred.successor().value(),
                                        "the key was transferred to another instance"));
                    case KeyStore.AwaitingAnnouncement announced ->
                        mayForward ? forward(key.owner(), key, call) : awaitAnnouncement(call, MAX_ANNOUNCEMENT_POLLS);
                    case KeyStore.Remote remote ->
                        mayForward
                                ? forward(key.owner(), key, call)
                                : completed(unknown(
                                        Step.FORWARD, issuer.self().value(), "this instance does not own the key"));
                });
    }

    /** Handles the call once the announcement of a transfer, which may still be in transit, has arrived. */
    private CompletableFuture<CallResult> awaitAnnouncement(KeyedCallRunner.KeyedCall call, int remainingPolls) {
        CompletableFuture<CallResult> result = new CompletableFuture<>();
        timer.after(ANNOUNCEMENT_POLL_INTERVAL, () -> {
            boolean announced = IdempotencyKey.parse(call.key())
                    .map(key -> store.<Boolean>withLocation(
                            key.owner(),
                            key.incarnation(),
                            location -> !(location instanceof KeyStore.AwaitingAnnouncement)))
                    .orElse(true);
            CompletableFuture<CallResult> next = announced
                    ? call(call, false)
                    : remainingPolls > 1
                            ? awaitAnnouncement(call, remainingPolls - 1)
                            : completed(unknown(Step.FORWARD, issuer.self().value(), "the key is being transferred"));
            next.thenAccept(result::complete);
        });
        return result;
    }

    private CompletableFuture<CallResult> claim(KeyTable table, IdempotencyKey key, KeyedCallRunner.KeyedCall call) {
        if (!table.hasValidSignature(call.key())) {
            return completed(notRun("the signature of the key is not valid"));
        }
        // The hash is never 0, which marks an unknown body.
        long bodyHash = Hashing.komihash5_0().hashBytesToLong(call.body()) | 1;
        return switch (table.claim(call.key(), key, bodyHash)) {
            case KeyTable.Granted granted -> run(table, call);
            case KeyTable.Duplicate duplicate -> awaitUntilDeadline(duplicate.result(), call);
            case KeyTable.Unknown unknown ->
                completed(unknown(Step.ADMIT, issuer.self().value(), unknown.reason()));
        };
    }

    private CompletableFuture<CallResult> run(KeyTable table, KeyedCallRunner.KeyedCall call) {
        CompletableFuture<CallResult> running;
        try {
            running = runner.run(call);
        } catch (RuntimeException e) {
            LOG.errorf(e, "key: the runner failed to start request %s", call.request());
            running = completed(unknown(Step.SEND, issuer.self().value(), "internal error"));
        }
        return running.exceptionally(e -> {
                    LOG.errorf(e, "key: the runner failed for request %s", call.request());
                    return unknown(Step.SEND, issuer.self().value(), "internal error");
                })
                .thenApply(result -> {
                    table.finish(call.key(), result);
                    return result;
                });
    }

    private CompletableFuture<CallResult> awaitUntilDeadline(
            CompletableFuture<CallResult> result, KeyedCallRunner.KeyedCall call) {
        long remainingNanos = Math.max(1, call.deadlineNanos() - timer.nanos());
        CallResult running =
                unknown(Step.SEND, issuer.self().value(), "an earlier call with the same key is still running");
        return result.copy().completeOnTimeout(running, remainingNanos, TimeUnit.NANOSECONDS);
    }

    private CompletableFuture<CallResult> forward(InstanceId to, IdempotencyKey key, KeyedCallRunner.KeyedCall call) {
        long remainingMs = TimeUnit.NANOSECONDS.toMillis(call.deadlineNanos() - timer.nanos());
        ForwardCall frame = new ForwardCall(
                callIds.incrementAndGet(),
                call.request(),
                call.organisation().value(),
                call.kind().value(),
                call.key(),
                Math.max(0, remainingMs),
                ByteBuffer.wrap(call.body()));
        Duration timeout = Duration.ofMillis(Math.max(0, remainingMs)).plus(FORWARD_MARGIN);
        // A successor has its own incarnation; an owner must be the incarnation that issued the key.
        var incarnation = to.equals(key.owner())
                ? Optional.of(key.incarnation())
                : peers.members().stream()
                        .filter(member -> member.instance().equals(to))
                        .map(member -> member.incarnation())
                        .findFirst();
        if (incarnation.isEmpty()) {
            return completed(unknown(Step.FORWARD, to.value(), "the successor of the key's owner is not known"));
        }
        CompletableFuture<ForwardResult> sent;
        try {
            sent = peers.forward(to, incarnation.get(), frame, timeout);
        } catch (RuntimeException e) {
            sent = CompletableFuture.failedFuture(e);
        }
        return sent.handle((result, e) -> e == null ? ForwardFrames.read(result) : failedForward(to, e));
    }

    private static CallResult failedForward(InstanceId to, Throwable e) {
        Throwable cause = e instanceof CompletionException && e.getCause() != null ? e.getCause() : e;
        String message = cause instanceof StepException ? cause.getMessage() : "the owner cannot be reached";
        return unknown(Step.FORWARD, to.value(), message);
    }

    /** Handles a call that a peer forwarded. The future never fails. */
    public CompletableFuture<ForwardResult> onForward(InstanceId from, ForwardCall frame) {
        Optional<KeyedCallRunner.KeyedCall> call = ForwardFrames.read(frame, timer.nanos());
        CompletableFuture<CallResult> result =
                call.isEmpty() ? completed(notRun("the forwarded call is malformed")) : call(call.get(), false);
        return result.thenApply(r -> ForwardFrames.write(frame.getCallId(), r));
    }

    private static CompletableFuture<CallResult> completed(CallResult result) {
        return CompletableFuture.completedFuture(result);
    }

    private static CallResult notRun(String message) {
        return CallResult.failed(Outcome.NOT_RUN, Step.ACCEPT, "caller", message);
    }

    private static CallResult unknown(Step step, String peer, String message) {
        return CallResult.failed(Outcome.UNKNOWN, step, peer, message);
    }
}
