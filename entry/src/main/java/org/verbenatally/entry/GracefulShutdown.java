package org.verbenatally.entry;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import org.jboss.logging.Logger;
import org.verbenatally.core.InstanceId;
import org.verbenatally.entry.caller.CallerServer;
import org.verbenatally.entry.key.KeyStore;
import org.verbenatally.peer.MemberInfo;
import org.verbenatally.peer.PeerNetwork;
import org.verbenatally.wire.KeyTransfer;

/** The steps of a graceful shutdown, in order. One thread runs them. */
final class GracefulShutdown {
    private static final Logger LOG = Logger.getLogger(GracefulShutdown.class);

    /** Load balancers go on sending for a while after an instance has become unready. */
    private static final Duration BALANCER_LAG = Duration.ofSeconds(3);

    private static final Duration LOOK = Duration.ofMillis(50);
    private static final Duration TRANSFER_TIMEOUT = Duration.ofSeconds(10);
    private static final Duration TRANSFER_RETRY = Duration.ofSeconds(1);
    /** Time for streams that were told to reconnect to write their last bytes. */
    private static final Duration LAST_BYTES = Duration.ofSeconds(2);

    private final CallerServer callers;
    private final PeerNetwork peers;
    private final Duration bound;
    private final long startNanos = System.nanoTime();

    GracefulShutdown(CallerServer callers, PeerNetwork peers, Duration bound) {
        this.callers = Objects.requireNonNull(callers, "callers");
        this.peers = Objects.requireNonNull(peers, "peers");
        this.bound = Objects.requireNonNull(bound, "bound");
    }

    /** Runs all steps. The instance must be unready already. */
    void run() throws InterruptedException {
        LOG.infof("caller: stopping, %d requests are open", callers.open());
        callers.keyedCalls().stopIssuing();
        peers.leave();
        TimeUnit.NANOSECONDS.sleep(BALANCER_LAG.toNanos());
        callers.refuse();
        // Streams go on while the keys are handed over; the order of the two does not matter to callers.
        Thread keys = Thread.ofVirtual().name("key-transfer").start(this::handOver);
        boolean idle = await(() -> callers.open() == 0, left());
        if (!idle) {
            LOG.infof("stream: %d requests are still open at the bound, their callers reconnect", callers.open());
            callers.reconnectAll();
            await(() -> callers.open() == 0, LAST_BYTES);
        }
        keys.join(Duration.ofMillis(Math.max(1, left().toMillis())));
        LOG.infof("caller: stopped");
    }

    private Duration left() {
        return bound.minusNanos(System.nanoTime() - startNanos);
    }

    private static boolean await(BooleanSupplier condition, Duration limit) throws InterruptedException {
        long end = System.nanoTime() + limit.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - end >= 0) {
                return false;
            }
            TimeUnit.NANOSECONDS.sleep(LOOK.toNanos());
        }
        return true;
    }

    /** Transfers the key tables to a successor, trying until one confirms or the time is up. */
    private void handOver() {
        KeyStore store = callers.keyedCalls().store();
        if (store.isUnneeded()) {
            return;
        }
        try {
            while (left().isPositive()) {
                Optional<InstanceId> successor = successor();
                if (successor.isPresent() && transfer(store, successor.get())) {
                    LOG.infof("key: %s has taken over the keys", successor.get());
                    return;
                }
                TimeUnit.NANOSECONDS.sleep(TRANSFER_RETRY.toNanos());
            }
            LOG.warn("key: no successor took the keys over");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean transfer(KeyStore store, InstanceId successor) throws InterruptedException {
        Optional<InstanceId> confirmed = Optional.empty();
        store.beginTransfer();
        try {
            // No call starts during a transfer; those that run end by their deadlines.
            await(() -> store.open() == 0, left());
            for (List<KeyTransfer> parts : store.parts()) {
                peers.transferKeys(successor, parts, TRANSFER_TIMEOUT).get();
            }
            // From here on this instance decides no more, whatever becomes of the announcement.
            confirmed = Optional.of(successor);
            peers.announceKeySuccessor(successor);
        } catch (ExecutionException | RuntimeException e) {
            LOG.warnf("key: transfer to %s failed: %s", successor, e.getMessage());
        } finally {
            store.endTransfer(confirmed);
        }
        return confirmed.isPresent();
    }

    /** Returns the next live member by id, so that several leaving instances spread over the fleet. */
    private Optional<InstanceId> successor() {
        List<InstanceId> live = peers.members().stream()
                .filter(member -> member.status() == MemberInfo.Status.LIVE)
                .map(MemberInfo::instance)
                .filter(id -> !id.equals(peers.self()))
                .sorted(Comparator.comparing(InstanceId::value))
                .toList();
        return live.stream()
                .filter(id -> id.value().compareTo(peers.self().value()) > 0)
                .findFirst()
                .or(() -> live.stream().findFirst());
    }
}
