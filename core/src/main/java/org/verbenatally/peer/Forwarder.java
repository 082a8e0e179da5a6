package org.verbenatally.peer;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;

import org.verbenatally.core.InstanceId;
import org.verbenatally.core.Outcome;
import org.verbenatally.core.Step;
import org.verbenatally.core.StepException;
import org.verbenatally.peer.MemberRecord.Run;
import org.verbenatally.time.TimerService;
import org.verbenatally.wire.ForwardCall;
import org.verbenatally.wire.ForwardResult;
import org.verbenatally.wire.KeyTransfer;
import org.verbenatally.wire.KeyTransferAck;
import org.verbenatally.wire.PeerFrame;

/** Forwards calls to the owner of a key and transfers key tables, each in a virtual thread of its own. */
final class Forwarder {
    /** Number of connections tried. A retry is safe because the owner runs the call of a key only once. */
    private static final int MAX_ATTEMPTS = 3;

    /**
     * How long to wait until the owner is known. An instance that has just started receives the records of earlier runs
     * from its peers, which send gossip every 500 ms.
     */
    private static final Duration MAX_OWNER_WAIT = Duration.ofMillis(1_100);

    private static final Duration OWNER_CHECK_PERIOD = Duration.ofMillis(20);
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final Run self;
    private final Membership membership;
    private final Links links;
    private final TimerService timers;
    private final PeerHandler handler;
    private final AtomicLong callIds = new AtomicLong();
    private volatile Run lastTransferredTo;

    /** One attempt over one link. */
    @FunctionalInterface
    private interface LinkAction<T> {
        T run(Link link, long nanos) throws ExecutionException, InterruptedException, TimeoutException;
    }

    Forwarder(Run self, Membership membership, Links links, TimerService timers, PeerHandler handler) {
        this.self = self;
        this.membership = membership;
        this.links = links;
        this.timers = timers;
        this.handler = handler;
    }

    CompletableFuture<ForwardResult> forward(Run owner, ForwardCall call, Duration timeout) {
        var result = new CompletableFuture<ForwardResult>();
        Thread.ofVirtual().name("forward").start(() -> {
            try {
                result.complete(forwardNow(owner, call, timeout));
            } catch (StepException e) {
                result.completeExceptionally(e);
            } catch (RuntimeException e) {
                result.completeExceptionally(failure(owner, "internal error", e));
            }
        });
        return result;
    }

    private ForwardResult forwardNow(Run owner, ForwardCall call, Duration timeout) {
        MemberRecord known = awaitOwner(owner, timeout);
        if (known.run().equals(self)) {
            return runBounded(
                    owner,
                    timeout,
                    n -> handler.onForwardedCall(self.instance(), call).get(n, TimeUnit.NANOSECONDS));
        }
        return overLink(owner, timeout, (link, nanos) -> {
            long id = callIds.incrementAndGet();
            var response = new CompletableFuture<ForwardResult>();
            link.calls.put(id, response);
            try {
                if (!link.send(PeerFrame.forwardCall(call.deepCopy().setCallId(id)))) {
                    link.close("frame could not be sent");
                }
                if (link.isClosed()) {
                    response.completeExceptionally(new Link.LinkClosedException("link was closed"));
                }
                return response.get(nanos, TimeUnit.NANOSECONDS).deepCopy().setCallId(call.getCallId());
            } finally {
                link.calls.remove(id);
                link.lastUsed = timers.nanos();
            }
        });
    }

    private MemberRecord awaitOwner(Run owner, Duration timeout) {
        long until = timers.nanos() + Math.min(MAX_OWNER_WAIT.toNanos(), timeout.toNanos() / 2);
        Optional<MemberRecord> known = membership.keyOwner(owner);
        while (known.isEmpty() && timers.nanos() - until < 0) {
            try {
                TimeUnit.NANOSECONDS.sleep(OWNER_CHECK_PERIOD.toNanos());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw failure(owner, "interrupted while waiting for the key owner", e);
            }
            known = membership.keyOwner(owner);
        }
        return known.orElseThrow(() -> unknownOwner(owner));
    }

    CompletableFuture<Void> transfer(InstanceId successor, List<KeyTransfer> parts, Duration timeout) {
        var result = new CompletableFuture<Void>();
        Run destination =
                membership.latestRun(successor).map(MemberRecord::run).orElse(new Run(successor, self.incarnation()));
        Thread.ofVirtual().name("transfer").start(() -> {
            try {
                overLink(destination, timeout, (link, nanos) -> send(link, parts, nanos));
                lastTransferredTo = destination;
                result.complete(null);
            } catch (StepException e) {
                result.completeExceptionally(e);
            }
        });
        return result;
    }

    private Void send(Link link, List<KeyTransfer> parts, long nanos)
            throws ExecutionException, InterruptedException, TimeoutException {
        var ack = new CompletableFuture<Void>();
        link.transfers.put(self, ack);
        try {
            for (KeyTransfer part : parts) {
                if (!link.send(PeerFrame.keyTransfer(part))) {
                    link.close("frame could not be sent");
                }
            }
            if (link.isClosed()) {
                ack.completeExceptionally(new Link.LinkClosedException("link was closed"));
            }
            return ack.get(nanos, TimeUnit.NANOSECONDS);
        } finally {
            link.transfers.remove(self);
            link.lastUsed = timers.nanos();
        }
    }

    /** Runs an action on a link to the run that owns the keys, with up to {@link #MAX_ATTEMPTS} connections. */
    private <T> T overLink(Run owner, Duration timeout, LinkAction<T> action) {
        return runBounded(owner, timeout, nanos -> {
            long until = timers.nanos() + nanos;
            ExecutionException lastFailure = null;
            for (int i = 0; i < MAX_ATTEMPTS; i++) {
                MemberRecord destination = membership.keyOwner(owner).orElseThrow(() -> unknownOwner(owner));
                try {
                    Link link = links.linkTo(destination).get(until - timers.nanos(), TimeUnit.NANOSECONDS);
                    link.lastUsed = timers.nanos();
                    if (!destination.run().equals(link.peer())) {
                        throw failure(owner, "instance runs as another incarnation", null);
                    }
                    return action.run(link, until - timers.nanos());
                } catch (ExecutionException e) {
                    lastFailure = e;
                }
            }
            throw lastFailure;
        });
    }

    @FunctionalInterface
    private interface BoundedAction<T> {
        T run(long nanos) throws ExecutionException, InterruptedException, TimeoutException;
    }

    private static <T> T runBounded(Run owner, Duration timeout, BoundedAction<T> action) {
        try {
            return action.run(timeout.toNanos());
        } catch (TimeoutException e) {
            throw failure(owner, "no response within " + timeout.toMillis() + " ms", e);
        } catch (ExecutionException e) {
            throw failure(owner, "cannot be reached: " + e.getCause().getMessage(), e.getCause());
        } catch (CancellationException | InterruptedException e) {
            throw failure(owner, "interrupted while waiting for the response", e);
        }
    }

    private static StepException unknownOwner(Run owner) {
        return failure(owner, "instance is unknown and no key successor was announced", null);
    }

    /** The outcome is unknown even if this attempt was not sent: the owner may have run an earlier one. */
    private static StepException failure(Run owner, String message, Throwable cause) {
        return new StepException(Step.FORWARD, owner.instance().value(), Outcome.UNKNOWN, message, cause, RETRY_AFTER);
    }

    /** Returns the run to which the last transfer was made, if it is a run of the given instance. */
    Optional<Run> transferredTo(InstanceId successor) {
        return Optional.ofNullable(lastTransferredTo).filter(r -> r.instance().equals(successor));
    }

    void onCall(Link link, ForwardCall call) {
        link.inProgress.incrementAndGet();
        handler.onForwardedCall(link.peer().instance(), call).whenComplete((result, e) -> {
            if (result != null) {
                link.send(PeerFrame.forwardResult(result.deepCopy().setCallId(call.getCallId())));
            }
            link.inProgress.decrementAndGet();
        });
    }

    void onResult(Link link, ForwardResult result) {
        var pending = link.calls.remove(result.getCallId());
        if (pending != null) {
            pending.complete(result);
        }
    }

    void onTransfer(Link link, KeyTransfer part) {
        link.inProgress.incrementAndGet();
        // Parts are stored one after another, so that the acknowledgement of the last part covers all of them.
        synchronized (link) {
            CompletableFuture<Void> before =
                    link.transfers.getOrDefault(link.peer(), CompletableFuture.completedFuture(null));
            CompletableFuture<Void> stored =
                    before.thenCompose(v -> handler.onKeyTransfer(link.peer().instance(), part));
            link.transfers.put(link.peer(), stored);
            stored.whenComplete((v, e) -> {
                link.inProgress.decrementAndGet();
                if (e != null) {
                    link.close("key transfer failed: " + e.getMessage());
                } else if (part.isLast()) {
                    link.transfers.remove(link.peer(), stored);
                    link.send(PeerFrame.keyTransferAck(new KeyTransferAck(part.getInstance(), part.getIncarnation())));
                }
            });
        }
    }

    void onAck(Link link) {
        var pending = link.transfers.remove(self);
        if (pending != null) {
            pending.complete(null);
        }
    }
}
