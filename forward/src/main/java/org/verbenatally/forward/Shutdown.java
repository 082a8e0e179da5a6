package org.verbenatally.forward;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

import org.jboss.logging.Logger;
import org.verbenatally.core.LogEvent;
import org.verbenatally.time.TimerService;

/**
 * Graceful shutdown: the instance becomes unready at once, keeps accepting work until the load balancer has noticed,
 * then refuses requests that would not end in time, and stops when no request is open or the grace period is nearly
 * over.
 */
final class Shutdown {
    private static final Logger LOG = Logger.getLogger(Shutdown.class);
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(100);
    /** Share of the grace period in which new generations are still accepted. */
    private static final double ACCEPTING_SHARE = 0.3;
    /** The load balancer sends new connections until it has missed two responses, one second apart. */
    private static final Duration BALANCER_LAG = Duration.ofMillis(2_500);
    /** Time that the process itself needs to exit. */
    private static final Duration EXIT_TIME = Duration.ofMillis(250);

    private final TimerService timer;
    private volatile Duration grace;
    private final AtomicInteger open = new AtomicInteger();
    private final CompletableFuture<Void> done = new CompletableFuture<>();
    private volatile boolean stopping;
    private volatile boolean closing;
    private volatile long startNanos;

    Shutdown(TimerService timer, Duration grace) {
        this.timer = Objects.requireNonNull(timer, "timer");
        this.grace = Objects.requireNonNull(grace, "grace");
    }

    /** Replaces the grace period. */
    void setGrace(Duration next) {
        grace = Objects.requireNonNull(next, "next");
    }

    void onRequestStart() {
        open.incrementAndGet();
    }

    void onRequestEnd() {
        open.decrementAndGet();
    }

    int openRequests() {
        return open.get();
    }

    boolean isStopping() {
        return stopping;
    }

    private Duration elapsed() {
        return Duration.ofNanos(timer.nanos() - startNanos);
    }

    /**
     * Returns whether new requests of a kind are accepted. During a shutdown, a request is accepted only if the process
     * outlives it, whatever its target does. Generations, most of which end long before their timeout, are accepted in
     * any case until the load balancer has noticed.
     *
     * @param retrySafety retry safety of the request
     * @param timeout longest time until its response
     */
    boolean isAccepting(RetrySafety retrySafety, Duration timeout) {
        if (!stopping) {
            return true;
        }
        if (closing) {
            return false;
        }
        Duration elapsed = elapsed();
        if (elapsed.plus(timeout).compareTo(grace.minus(EXIT_TIME)) < 0) {
            return true;
        }
        return retrySafety == RetrySafety.GENERATION
                && elapsed.compareTo(BALANCER_LAG) < 0
                && elapsed.toNanos() < ACCEPTING_SHARE * grace.toNanos();
    }

    /** Starts the shutdown; completes when the process may end. */
    synchronized CompletableFuture<Void> start() {
        if (!stopping) {
            startNanos = timer.nanos();
            stopping = true;
            LogEvent.of("instance.stopping").with("open", open.get()).info(LOG);
            timer.every(CHECK_INTERVAL, tick -> check());
        }
        return done;
    }

    /** Completes the shutdown once no request was open at two checks in a row; requests in between are refused. */
    void check() {
        Duration elapsed = elapsed();
        boolean idle = open.get() == 0 && elapsed.compareTo(BALANCER_LAG) > 0;
        boolean idleBefore = closing;
        closing = closing || idle;
        boolean expired = elapsed.compareTo(grace.minus(EXIT_TIME)) > 0;
        if ((idle && idleBefore || expired) && !done.isDone()) {
            LogEvent.of("instance.stopped")
                    .with("open", open.get())
                    .with("ms", elapsed.toMillis())
                    .info(LOG);
            done.complete(null);
        }
    }
}
