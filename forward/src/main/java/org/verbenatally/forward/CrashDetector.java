package org.verbenatally.forward;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import org.jboss.logging.Logger;
import org.verbenatally.core.LogEvent;
import org.verbenatally.policy.Fingerprint;
import org.verbenatally.policy.SuspectTable;
import org.verbenatally.time.TimerService;

/**
 * Finds requests that crash their targets. A broken connection alone does not count as a crash: the target must also
 * have stopped listening, and must not have been about to leave. Most requests that run at a target when it dies have
 * nothing to do with that, so a request that received a response recently is not suspected.
 */
final class CrashDetector {
    private static final Logger LOG = Logger.getLogger(CrashDetector.class);
    /** A listening process accepts a connection within a round trip; one that died refuses it or does not respond. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

    /** Number of requests whose responses are remembered: those of a busy minute. */
    private static final int MAX_REMEMBERED = 4_096;

    /** Callers retry a failed request within seconds; an older response says little about the present targets. */
    private static final Duration RECENT_RESPONSE = Duration.ofMinutes(1);

    private final SuspectTable suspects;
    private final TargetDirectory directory;
    private final TimerService timer;
    private final NetClient probes;
    private final Map<Fingerprint, Long> lastResponses = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Fingerprint, Long> eldest) {
            return size() > MAX_REMEMBERED;
        }
    };

    CrashDetector(SuspectTable suspects, TargetDirectory directory, TimerService timer, Vertx vertx) {
        this.suspects = Objects.requireNonNull(suspects, "suspects");
        this.directory = Objects.requireNonNull(directory, "directory");
        this.timer = Objects.requireNonNull(timer, "timer");
        this.probes = vertx.createNetClient(new NetClientOptions().setConnectTimeout((int) CONNECT_TIMEOUT.toMillis()));
    }

    /** Returns whether a request is known to crash any target that runs it. */
    boolean isQuarantined(Fingerprint fingerprint) {
        return suspects.verdict(fingerprint) == SuspectTable.Verdict.QUARANTINED && !hasRecentResponse(fingerprint);
    }

    private synchronized boolean hasRecentResponse(Fingerprint fingerprint) {
        Long at = lastResponses.get(fingerprint);
        return at != null && timer.nanos() - at < RECENT_RESPONSE.toNanos();
    }

    /** Records that a target has responded to a request, which is then no longer suspected. */
    synchronized void onResponse(ForwardedRequest request) {
        lastResponses.remove(request.fingerprint());
        lastResponses.put(request.fingerprint(), timer.nanos());
        suspects.clearSuspicion(request.fingerprint());
    }

    /**
     * Called when a connection to a target broke: checks in the background whether the target died with all requests
     * that it ran.
     */
    void onConnectionLost(TargetState state) {
        if (directory.isLeaving(state) || !state.trySuspect()) {
            return;
        }
        ForwardTarget target = state.target();
        List<InFlightRequest> running = state.inFlightRequests();
        boolean alone = running.size() <= 1 && state.peerRequests() == 0;
        long now = timer.nanos();
        probes.connect(target.address().port(), target.address().host())
                .onSuccess(socket -> {
                    socket.close();
                    state.onListening();
                })
                .onFailure(e -> onCrash(target, running, alone, now, e));
    }

    private void onCrash(
            ForwardTarget target, List<InFlightRequest> running, boolean alone, long lostAt, Throwable reason) {
        List<InFlightRequest> suspected = running.stream()
                .filter(inFlight -> !hasRecentResponse(inFlight.fingerprint()))
                .toList();
        suspects.recordCrash(
                target.id(),
                suspected.stream().map(InFlightRequest::fingerprint).toList(),
                alone);
        suspected.forEach(inFlight -> LogEvent.of("target.crashed")
                .request(inFlight.requestId())
                .with("target", target.id())
                .with("alone", alone)
                .with("sharedParts", inFlight.sharedParts())
                .with(
                        "generatingMs",
                        inFlight.generatingFor(lostAt).map(Duration::toMillis).orElse(-1L))
                .with("verdict", suspects.verdict(inFlight.fingerprint()))
                .with("reason", reason.getMessage())
                .info(LOG));
    }
}
