package org.verbenatally.forward;

import java.net.ConnectException;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.function.Predicate;

import io.netty.channel.ConnectTimeoutException;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import org.verbenatally.time.TimerService;

/** Checks whether targets accept connections. */
final class TargetProbe {
    /** A listening process accepts a connection within a round trip; one that died refuses it or does not respond. */
    static final Duration TIMEOUT = Duration.ofMillis(500);

    private final TimerService timer;
    private final NetClient client;
    private final Predicate<ForwardTarget> excluded;
    private final Map<TargetRun, Check> checks = new HashMap<>();

    private record Check(long startNanos, Future<Void> result) {}

    /**
     * Creates a probe.
     *
     * @param excluded whether a target must not be contacted; its checks fail and show nothing
     */
    TargetProbe(Vertx vertx, TimerService timer, Predicate<ForwardTarget> excluded) {
        this.excluded = Objects.requireNonNull(excluded, "excluded");
        this.timer = Objects.requireNonNull(timer, "timer");
        this.client = vertx.createNetClient(new NetClientOptions().setConnectTimeout((int) TIMEOUT.toMillis()));
    }

    /** Returns a future that succeeds if the target accepts a connection, and fails with the reason otherwise. */
    Future<Void> check(ForwardTarget target) {
        if (excluded.test(target)) {
            return Future.failedFuture("failure domain is evacuated");
        }
        return client.connect(target.address().port(), target.address().host()).map(socket -> {
            socket.close();
            return null;
        });
    }

    /**
     * Like {@link #check}, but requests that wait for the same target share a check for a while, so that they do not
     * take many of its connections.
     */
    synchronized Future<Void> checkShared(ForwardTarget target) {
        long now = timer.nanos();
        checks.values().removeIf(check -> now - check.startNanos > 2 * TIMEOUT.toNanos());
        return checks.computeIfAbsent(target.run(), run -> new Check(now, check(target))).result;
    }

    /**
     * Returns whether the reason for which a check failed shows that no process listens any longer. A check without a
     * response shows nothing: its packets may have been lost.
     */
    static boolean isRefused(Throwable reason) {
        return reason instanceof ConnectException && !(reason instanceof ConnectTimeoutException);
    }
}
