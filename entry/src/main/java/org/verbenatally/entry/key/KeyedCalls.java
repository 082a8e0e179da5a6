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
 * Calls with idempotency keys: decides about the keys that this instance owns and forwards all others to their owners.
 * Only the owner may say that a call was not run. Safe for use by several threads.
 */
public final class KeyedCalls {
    /** Largest body of a keyed call; a forwarded call must fit into one frame between entries. */
    public static final int MAX_BODY_BYTES = 960 * 1024;

    private static final Logger LOG = Logger.getLogger(KeyedCalls.class);
    /** Time for the way to the owner and back, beyond the call's own deadline. */
    private static final Duration FORWARD_SLACK = Duration.ofMillis(500);

    /** An announcement travels on the link on which the table came; it takes milliseconds. */
    private static final Duration ANNOUNCEMENT_LOOK = Duration.ofMillis(50);

    private static final int ANNOUNCEMENT_LOOKS = 20;

    private final KeyIssuer issuer;
    private final KeyStore store;
    private final CallRunner runner;
    private final PeerNetwork peers;
    private final TimerService timer;
    private final AtomicLong callIds = new AtomicLong();

    /**
     * Creates the calls of one run of this instance.
     *
     * @param issuer issues this instance's keys
     * @param runner runs a call once its key is recorded
     * @param peers links to the owners of other keys
     * @param timer timer service
     */
    public KeyedCalls(KeyIssuer issuer, CallRunner runner, PeerNetwork peers, TimerService timer) {
        this.issuer = Objects.requireNonNull(issuer, "issuer");
        this.runner = Objects.requireNonNull(runner, "runner");
        this.peers = Objects.requireNonNull(peers, "peers");
        this.timer = Objects.requireNonNull(timer, "timer");
        this.store = new KeyStore(issuer, timer, peers);
        timer.every(Duration.ofSeconds(10), tick -> store.trim());
    }

    /** Returns the tables, for their transfer. */
    public KeyStore store() {
        return store;
    }

    /** Issues a key, or returns empty if this instance is leaving or holds too many used keys. */
    public Optional<String> issue(OrganisationId organisation, KindName kind) {
        return store.size() >= KeyTable.ISSUE_BOUND ? Optional.empty() : issuer.issue(organisation, kind);
    }

    /** Issues no more keys. */
    public void stopIssuing() {
        issuer.stop();
    }

    /** Runs a call, or returns the result of an earlier copy. The future never fails. */
    public CompletableFuture<CallResult> call(CallRunner.Call call) {
        return call(call, true);
    }

    private CompletableFuture<CallResult> call(CallRunner.Call call, boolean mayForward) {
        Optional<IdempotencyKey> parsed = IdempotencyKey.read(call.key());
        if (parsed.isEmpty()) {
            return done(notRun("the text is no idempotency key"));
        }
        IdempotencyKey key = parsed.get();
        if (!key.kind().equals(call.kind()) || key.organisationHash() != IdempotencyKey.hash(call.organisation())) {
            return done(notRun("the key was issued for another organisation or kind"));
        }
        return store.<CompletableFuture<CallResult>>decide(key.owner(), key.run(), place -> switch (place) {
            case KeyStore.Held held -> decide(held.table(), key, call);
            case KeyStore.Moving moving -> moving.end().thenCompose(end -> call(call, mayForward));
            case KeyStore.Moved moved ->
                mayForward
                        ? forward(moved.successor(), key, call)
                        : done(unknown(Step.FORWARD, moved.successor().value(), "the key was handed over"));
            case KeyStore.Announced announced ->
                mayForward ? forward(key.owner(), key, call) : afterAnnouncement(call, ANNOUNCEMENT_LOOKS);
            case KeyStore.Elsewhere elsewhere ->
                mayForward
                        ? forward(key.owner(), key, call)
                        : done(unknown(Step.FORWARD, issuer.self().value(), "this instance does not own the key"));
        });
    }

    /** Looks again while the announcement of a transfer may be on its way. */
    private CompletableFuture<CallResult> afterAnnouncement(CallRunner.Call call, int looks) {
        CompletableFuture<CallResult> result = new CompletableFuture<>();
        timer.after(ANNOUNCEMENT_LOOK, () -> {
            boolean announced = IdempotencyKey.read(call.key())
                    .map(key -> store.<Boolean>decide(
                            key.owner(), key.run(), place -> !(place instanceof KeyStore.Announced)))
                    .orElse(true);
            CompletableFuture<CallResult> next = announced
                    ? call(call, false)
                    : looks > 1
                            ? afterAnnouncement(call, looks - 1)
                            : done(unknown(Step.FORWARD, issuer.self().value(), "the key is being handed over"));
            next.thenAccept(result::complete);
        });
        return result;
    }

    private CompletableFuture<CallResult> decide(KeyTable table, IdempotencyKey key, CallRunner.Call call) {
        if (!table.isGenuine(call.key())) {
            return done(notRun("the key is not genuine"));
        }
        long bodyHash = Hashing.komihash5_0().hashBytesToLong(call.body()) | 1;
        return switch (table.claim(call.key(), key, bodyHash)) {
            case KeyTable.Granted granted -> run(table, call);
            case KeyTable.Copy copy -> untilDeadline(copy.result(), call);
            case KeyTable.Unknown unknown ->
                done(unknown(Step.ADMIT, issuer.self().value(), unknown.reason()));
        };
    }

    private CompletableFuture<CallResult> run(KeyTable table, CallRunner.Call call) {
        CompletableFuture<CallResult> running;
        try {
            running = runner.run(call);
        } catch (RuntimeException e) {
            LOG.errorf(e, "key: the runner failed to start request %s", call.request());
            running = done(unknown(Step.SEND, issuer.self().value(), "internal error"));
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

    private CompletableFuture<CallResult> untilDeadline(CompletableFuture<CallResult> result, CallRunner.Call call) {
        long left = Math.max(1, call.deadlineNanos() - timer.nanos());
        CallResult running = unknown(Step.SEND, issuer.self().value(), "an earlier copy of the call still runs");
        return result.copy().completeOnTimeout(running, left, TimeUnit.NANOSECONDS);
    }

    private CompletableFuture<CallResult> forward(InstanceId to, IdempotencyKey key, CallRunner.Call call) {
        long leftMs = TimeUnit.NANOSECONDS.toMillis(call.deadlineNanos() - timer.nanos());
        ForwardCall frame = new ForwardCall(
                callIds.incrementAndGet(),
                call.request(),
                call.organisation().value(),
                call.kind().value(),
                call.key(),
                Math.max(0, leftMs),
                ByteBuffer.wrap(call.body()));
        Duration timeout = Duration.ofMillis(Math.max(0, leftMs)).plus(FORWARD_SLACK);
        // A successor runs under its own incarnation; the owner must be the run that issued the key.
        var run = to.equals(key.owner())
                ? Optional.of(key.run())
                : peers.members().stream()
                        .filter(member -> member.instance().equals(to))
                        .map(member -> member.incarnation())
                        .findFirst();
        if (run.isEmpty()) {
            return done(unknown(Step.FORWARD, to.value(), "the key's successor is not known"));
        }
        CompletableFuture<ForwardResult> sent;
        try {
            sent = peers.forward(to, run.get(), frame, timeout);
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

    /** Runs a call that a peer forwarded. The future never fails. */
    public CompletableFuture<ForwardResult> onForward(InstanceId from, ForwardCall frame) {
        Optional<CallRunner.Call> call = ForwardFrames.read(frame, timer.nanos());
        CompletableFuture<CallResult> result =
                call.isEmpty() ? done(notRun("the forwarded call is malformed")) : call(call.get(), false);
        return result.thenApply(r -> ForwardFrames.write(frame.getCallId(), r));
    }

    private static CompletableFuture<CallResult> done(CallResult result) {
        return CompletableFuture.completedFuture(result);
    }

    private static CallResult notRun(String message) {
        return CallResult.failed(Outcome.NOT_RUN, Step.ACCEPT, "caller", message);
    }

    private static CallResult unknown(Step step, String peer, String message) {
        return CallResult.failed(Outcome.UNKNOWN, step, peer, message);
    }
}
