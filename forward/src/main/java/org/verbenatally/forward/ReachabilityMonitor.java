package org.verbenatally.forward;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;

import io.vertx.core.Future;
import org.jboss.logging.Logger;
import org.verbenatally.core.LogEvent;
import org.verbenatally.core.ServiceName;
import org.verbenatally.time.TimerService;

/**
 * Finds out whether this instance has lost its paths to the targets of a service. Once one of them cannot be reached
 * and none has been since, or none was for a while, others are probed until one is reached or enough are known not to
 * be. A target that is down by itself therefore costs a few probes. Safe for use by several threads.
 */
final class ReachabilityMonitor {
    private static final Logger LOG = Logger.getLogger(ReachabilityMonitor.class);

    /** Half of the time after which a probe without a response fails, so that two rounds may be under way. */
    static final Duration CHECK_INTERVAL = Duration.ofMillis(250);
    /** A service of which no target was reached for so long is probed, as requests may be waiting in vain. */
    private static final Duration IDLE_CONTACT_AGE = Duration.ofSeconds(1);
    /** The same while another service is cut off. */
    private static final Duration CONTACT_AGE = Duration.ofMillis(500);
    /** Number of targets of an idle service that are probed at a time. */
    private static final int IDLE_PROBES = 2;
    /**
     * Number of targets that cannot be reached, with none reached in between, from which all count as such. Targets are
     * drawn at random, so that this many are hardly ever down while others are not.
     */
    private static final int ENOUGH_FAILURES = 6;
    /** Smallest number of targets that are probed at a time. */
    private static final int MIN_PROBES = 3;
    /** Part of the targets of a service that are probed at a time, if that is more. */
    private static final int PROBED_PART = 8;

    private final TimerService timer;
    private final TargetDirectory directory;
    private final Function<ForwardTarget, Future<Void>> probe;
    private final Predicate<ForwardTarget> mayProbe;
    private final Consumer<ForwardTarget> onReachableAgain;
    private final Set<ServiceName> cutOff = ConcurrentHashMap.newKeySet();
    /** Targets whose probe has not ended. */
    private final Set<TargetRun> probing = ConcurrentHashMap.newKeySet();

    /**
     * Creates a monitor that does not probe yet.
     *
     * @param probe returns a future that succeeds if a target accepts a connection, and fails otherwise
     * @param mayProbe returns whether a target may be contacted now; others are left out
     * @param onReachableAgain called with a target that could not be reached and has accepted the connection of a probe
     */
    ReachabilityMonitor(
            TimerService timer,
            TargetDirectory directory,
            Function<ForwardTarget, Future<Void>> probe,
            Predicate<ForwardTarget> mayProbe,
            Consumer<ForwardTarget> onReachableAgain) {
        this.timer = Objects.requireNonNull(timer, "timer");
        this.directory = Objects.requireNonNull(directory, "directory");
        this.probe = Objects.requireNonNull(probe, "probe");
        this.mayProbe = Objects.requireNonNull(mayProbe, "mayProbe");
        this.onReachableAgain = Objects.requireNonNull(onReachableAgain, "onReachableAgain");
    }

    /** Starts to probe the targets of services that may be cut off. */
    void start() {
        timer.every(CHECK_INTERVAL, tick -> check());
    }

    /** Returns whether this instance reaches no target of a service that has some. */
    boolean isCutOff(ServiceName service) {
        List<TargetState> targets = directory.candidates(service);
        return !targets.isEmpty() && failures(targets) >= Math.min(targets.size(), ENOUGH_FAILURES);
    }

    /** Returns the number of services of which no target is reached. */
    int cutOffCount() {
        return cutOff.size();
    }

    /** Returns how many targets could not be reached since any of them was reached last. */
    private static int failures(List<TargetState> targets) {
        OptionalLong contact = TargetState.latestContact(targets);
        return (int) targets.stream()
                .filter(target -> target.hasFailedSince(contact))
                .count();
    }

    /** Probes what has to be probed now. */
    void check() {
        Set<ServiceName> services = directory.services();
        cutOff.retainAll(services);
        boolean elsewhere = !cutOff.isEmpty();
        for (ServiceName service : services) {
            List<TargetState> targets = directory.candidates(service);
            boolean isCutOff = isCutOff(service);
            report(service, isCutOff);
            if (isCutOff) {
                probe(service, targets, 1);
            } else if (failures(targets) > 0 || elsewhere && isIdle(targets, CONTACT_AGE)) {
                probe(service, untried(targets), Math.max(MIN_PROBES, targets.size() / PROBED_PART));
            } else if (isIdle(targets, IDLE_CONTACT_AGE)) {
                probe(service, untried(targets), IDLE_PROBES);
            }
        }
    }

    private static List<TargetState> untried(List<TargetState> targets) {
        OptionalLong contact = TargetState.latestContact(targets);
        return targets.stream()
                .filter(target -> !target.hasFailedSince(contact))
                .toList();
    }

    private boolean isIdle(List<TargetState> targets, Duration age) {
        OptionalLong contact = TargetState.latestContact(targets);
        return contact.isEmpty() || timer.nanos() - contact.getAsLong() >= age.toNanos();
    }

    private void report(ServiceName service, boolean isCutOff) {
        if (isCutOff ? cutOff.add(service) : cutOff.remove(service)) {
            LogEvent.of(isCutOff ? "service.unreachable" : "service.reachable")
                    .with("service", service)
                    .info(LOG);
        }
    }

    /** Probes some targets, drawn at random. */
    private void probe(ServiceName service, List<TargetState> targets, int count) {
        List<TargetState> drawn = new ArrayList<>(targets);
        drawn.removeIf(target -> probing.contains(target.target().run()) || !mayProbe.test(target.target()));
        Collections.shuffle(drawn);
        drawn.stream().limit(count).forEach(target -> probe(service, target));
    }

    private void probe(ServiceName service, TargetState target) {
        TargetRun run = target.target().run();
        probing.add(run);
        probe.apply(target.target()).onComplete(connected -> {
            probing.remove(run);
            if (connected.succeeded()) {
                onReached(service, target);
            } else {
                target.onUnreachable(timer.nanos());
            }
        });
    }

    private void onReached(ServiceName service, TargetState target) {
        boolean wasCutOff = isCutOff(service);
        target.onContact(timer.nanos());
        if (target.onConnected()) {
            onReachableAgain.accept(target.target());
        }
        if (wasCutOff) {
            // They failed for want of a path. Work that went only to the first one that is reached would overload it.
            directory.candidates(service).forEach(TargetState::endSuspension);
        }
    }
}
