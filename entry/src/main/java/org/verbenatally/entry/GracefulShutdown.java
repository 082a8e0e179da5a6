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

/** Runs the steps of a graceful shutdown in order, on one thread. */
final class GracefulShutdown {
    private static final Logger LOG = Logger.getLogger(GracefulShutdown.class);

    /** Load balancers continue to send requests for some time after an instance has become unready. */
    private static final Duration LOAD_BALANCER_DELAY = Duration.ofSeconds(3);

    private static final Duration POLL_INTERVAL = Duration.ofMillis(50);
    /** Time limit for the transfer of one key table. */
    private static final Duration TRANSFER_TIMEOUT = Duration.ofSeconds(10);

    private static final Duration TRANSFER_RETRY_DELAY = Duration.ofSeconds(1);
    /** Time allowed for streams whose callers must reconnect to write their last bytes. */
    private static final Duration FLUSH_TIMEOUT = Duration.ofSeconds(2);

    private final CallerServer callers;
    private final PeerNetwork peers;
    private final Duration timeout;
    private final long startNanos = System.nanoTime();

    /**
     * Creates a shutdown whose time limit starts now.
     *
     * @param timeout time limit for open requests, whose callers must then reconnect, and for the transfer of the keys
     */
    GracefulShutdown(CallerServer callers, PeerNetwork peers, Duration timeout) {
        this.callers = Objects.requireNonNull(callers, "callers");
        this.peers = Objects.requireNonNull(peers, "peers");
        this.timeout = Objects.requireNonNull(timeout, "timeout");
    }

    /**
     * Runs all steps. The instance must already report that it is not ready.
     *
     * @throws InterruptedException if the thread is interrupted; the remaining steps are then skipped
     */
    void run() throws InterruptedException {
        LOG.infof("caller: stopping, %d requests are open", callers.openRequests());
        callers.stopWithin(timeout);
        callers.keyedCalls().stopIssuing();
        peers.announceLeaving();
        TimeUnit.NANOSECONDS.sleep(LOAD_BALANCER_DELAY.toNanos());
        callers.refuseNewWork();
        // Streams continue while the keys are transferred; the order of the two does not matter to callers.
        Thread keys = Thread.ofVirtual().name("key-transfer").start(this::transferKeysToSuccessor);
        boolean idle = await(() -> callers.openRequests() == 0, remaining());
        if (!idle) {
            LOG.infof(
                    "stream: %d requests are still open at the shutdown timeout; their callers must reconnect",
                    callers.openRequests());
            callers.closeStreams();
            await(() -> callers.openRequests() == 0, FLUSH_TIMEOUT);
        }
        keys.join(Duration.ofMillis(Math.max(1, remaining().toMillis())));
        LOG.infof("caller: stopped");
    }

    private Duration remaining() {
        return timeout.minusNanos(System.nanoTime() - startNanos);
    }

    private static boolean await(BooleanSupplier condition, Duration limit) throws InterruptedException {
        long end = System.nanoTime() + limit.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - end >= 0) {
                return false;
            }
            TimeUnit.NANOSECONDS.sleep(POLL_INTERVAL.toNanos());
        }
        return true;
    }

    /** Transfers the key tables to a successor; retries until one confirms or the time limit is reached. */
    private void transferKeysToSuccessor() {
        KeyStore store = callers.keyedCalls().store();
        if (store.hasNothingToTransfer()) {
            return;
        }
        try {
            while (remaining().isPositive()) {
                Optional<InstanceId> successor = chooseSuccessor();
                if (successor.isPresent() && transfer(store, successor.get())) {
                    LOG.infof("key: %s has adopted the keys", successor.get());
                    return;
                }
                TimeUnit.NANOSECONDS.sleep(TRANSFER_RETRY_DELAY.toNanos());
            }
            LOG.warn("key: no successor has adopted the keys");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean transfer(KeyStore store, InstanceId successor) throws InterruptedException {
        Optional<InstanceId> confirmed = Optional.empty();
        store.beginTransfer();
        try {
            // No call starts during a transfer; the running calls end by their deadlines.
            await(() -> store.openCalls() == 0, remaining());
            for (List<KeyTransfer> parts : store.transferParts()) {
                peers.transferKeys(successor, parts, TRANSFER_TIMEOUT).get();
            }
            // From here on this instance makes no decisions, even if the announcement is lost.
            confirmed = Optional.of(successor);
            peers.announceKeySuccessor(successor);
        } catch (ExecutionException | RuntimeException e) {
            LOG.warnf("key: transfer to %s failed: %s", successor, e.getMessage());
        } finally {
            store.endTransfer(confirmed);
        }
        return confirmed.isPresent();
    }

    /** Returns the next live member in id order, to distribute the keys of several leaving instances over the fleet. */
    private Optional<InstanceId> chooseSuccessor() {
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
