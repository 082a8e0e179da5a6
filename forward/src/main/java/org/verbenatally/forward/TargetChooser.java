package org.verbenatally.forward;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.verbenatally.core.FailureDomain;
import org.verbenatally.core.ServiceName;
import org.verbenatally.core.TargetId;
import org.verbenatally.forward.speed.ServiceModel;
import org.verbenatally.forward.speed.SpeedModels;
import org.verbenatally.time.TimerService;

/** Chooses the target of a request, and the engine that holds the copy of a generation. */
final class TargetChooser {
    /**
     * Cost of a target in another failure domain, in busy slots: enough to decide a tie, but less than a queue costs.
     */
    private static final double OTHER_DOMAIN_COST = 0.15;
    /** Cost of a target that fails every request, in busy slots. */
    private static final double FAILURE_COST = 4;
    /**
     * Weight of the requests that peers report: the reports are half a second old, so most short requests have ended
     * since.
     */
    private static final double PEER_REQUESTS_WEIGHT = 0.25;
    /**
     * Cost of each running generation at an engine of average speed, in milliseconds: keeps memory free everywhere.
     */
    private static final double MS_PER_RUNNING_GENERATION = 3;
    /**
     * Share of an engine's memory that generations are expected to fill at most. Beyond it, the engine may interrupt
     * generations and read their prompts again.
     */
    static final double PLANNED_MEMORY_SHARE = 0.92;
    /** All of an engine's memory; more than this is planned only for generations that would be lost otherwise. */
    static final double FULL_MEMORY_SHARE = 1.0;
    /**
     * Share of an engine's memory, counting the generations that wait there, beyond which a further one would wait
     * without result.
     */
    static final double OVERFULL_MEMORY_SHARE = 1.3;
    /** If engines have started to leave within this time, more are expected to follow. */
    private static final Duration LEAVING_WINDOW = Duration.ofSeconds(10);
    /** Smallest share for new generations: of two engines, one must be able to take the work of both. */
    private static final double MIN_NEW_WORK_SHARE = 0.5;
    /** Share of an engine's memory up to which it is given backups, which may never be needed. */
    static final double BACKUP_MEMORY_SHARE = 0.6;
    /** Cost of planning beyond {@link #PLANNED_MEMORY_SHARE}, in milliseconds for an excess of the full memory. */
    private static final double OVERFLOW_MS = 20_000;
    /** Cost of an engine in another failure domain, in milliseconds. */
    private static final double OTHER_DOMAIN_MS = 8;
    /**
     * Random part of the cost, in milliseconds, so that instances with the same reports do not all choose the same
     * engine.
     */
    private static final double JITTER_MS = 10;

    /**
     * Costs of engines that differ by less than this in a large fleet are not told apart, in milliseconds: reports are
     * half a second old, in which an engine may have received that much work.
     */
    private static final double GOOD_ENGINE_MS = 500;
    /** The same for plain targets, in busy slots. */
    private static final double GOOD_TARGET_COST = 0.1;
    /** How much more often a target in the own failure domain is drawn: bytes between domains are dear. */
    private static final double OWN_DOMAIN_WEIGHT = 2;
    /** Instances in a large fleet. The fewer decide by the same reports, the less work is not in the reports yet. */
    private static final int LARGE_FLEET = 64;
    /** Cost of an engine at which the pauses between events are twice the objective, in milliseconds. */
    private static final double PAUSE_MS = 2_000;

    private final TimerService timer;
    private final TargetDirectory directory;
    private final FailureDomain ownDomain;
    private final Predicate<ForwardTarget> maySend;
    private final IntSupplier members;
    private final SpeedModels speeds;
    private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create();

    /** Creates a chooser that has measured no speeds yet and passes over no target. */
    TargetChooser(TimerService timer, TargetDirectory directory, FailureDomain ownDomain) {
        this(timer, directory, ownDomain, new SpeedModels(true), target -> true, () -> 1);
    }

    /**
     * Creates a chooser.
     *
     * @param ownDomain failure domain of this instance
     * @param speeds pooled models of the services
     * @param maySend returns whether a request may be sent to a target now; others are passed over
     * @param members number of live instances, this one included
     */
    TargetChooser(
            TimerService timer,
            TargetDirectory directory,
            FailureDomain ownDomain,
            SpeedModels speeds,
            Predicate<ForwardTarget> maySend,
            IntSupplier members) {
        this.members = Objects.requireNonNull(members, "members");
        this.maySend = Objects.requireNonNull(maySend, "maySend");
        this.timer = Objects.requireNonNull(timer, "timer");
        this.directory = Objects.requireNonNull(directory, "directory");
        this.ownDomain = Objects.requireNonNull(ownDomain, "ownDomain");
        this.speeds = Objects.requireNonNull(speeds, "speeds");
    }

    private Optional<TargetState> cheapest(List<TargetState> states, ToDoubleFunction<TargetState> cost) {
        record Costed(TargetState state, double cost) {}

        return states.stream()
                .map(state -> new Costed(state, cost.applyAsDouble(state)))
                .min(Comparator.comparingDouble(Costed::cost))
                .map(Costed::state);
    }

    /**
     * Chooses one of the targets whose cost is close to the lowest: the better of two that are drawn with probabilities
     * in proportion to their speeds. However old the reports are, no target is then expected to get more than twice its
     * share of the requests of all instances.
     *
     * @param largeFleetMargin largest difference from the lowest cost in a large fleet; it shrinks with the fleet
     */
    private Optional<TargetState> choose(
            List<TargetState> states, ToDoubleFunction<TargetState> cost, double largeFleetMargin, long now) {
        int count = states.size();
        if (count == 0) {
            return Optional.empty();
        }
        double margin = largeFleetMargin * Math.clamp((members.getAsInt() - 1.0) / LARGE_FLEET, 0, 1);
        double[] weights = new double[count];
        double[] costs = new double[count];
        double best = Double.POSITIVE_INFINITY;
        for (int i = 0; i < count; i++) {
            costs[i] = cost.applyAsDouble(states.get(i));
            best = Math.min(best, costs[i]);
        }
        double total = 0;
        for (int i = 0; i < count; i++) {
            weights[i] = costs[i] <= best + margin ? weight(states.get(i), now) : 0;
            total += weights[i];
        }
        int first = draw(weights, total);
        int second = draw(weights, total);
        return Optional.of(states.get(costs[first] <= costs[second] ? first : second));
    }

    private double weight(TargetState state, long now) {
        boolean local = state.target().failureDomain().equals(ownDomain);
        return effectiveSpeed(state, now) * (local ? OWN_DOMAIN_WEIGHT : 1);
    }

    /** Draws an index with probabilities in proportion to the weights, of which at least one is positive. */
    private int draw(double[] weights, double total) {
        double left = random.nextDouble() * total;
        int drawn = 0;
        for (int i = 0; i < weights.length; i++) {
            if (weights[i] > 0) {
                drawn = i;
                left -= weights[i];
                if (left < 0) {
                    break;
                }
            }
        }
        return drawn;
    }

    private List<TargetState> usableTargets(ServiceName service, Set<TargetId> exclude) {
        long now = timer.nanos();
        List<TargetState> states = directory.candidates(service).stream()
                .filter(state -> !exclude.contains(state.target().id()))
                .filter(state -> maySend.test(state.target()))
                .toList();
        List<TargetState> reachable =
                states.stream().filter(state -> !state.isSuspended(now)).toList();
        return reachable.isEmpty() ? states : reachable;
    }

    /** Chooses a target of a plain service; empty if there is none. */
    Optional<TargetState> chooseTarget(ServiceName service, Set<TargetId> exclude) {
        long now = timer.nanos();
        ToDoubleFunction<TargetState> cost = state -> {
            double domainCost = state.target().failureDomain().equals(ownDomain) ? 0 : OTHER_DOMAIN_COST;
            // In multiples of the time of a call at a target of average speed.
            return (busyRequests(state) + 1) / Math.max(1, state.target().slots()) / effectiveSpeed(state, now)
                    + domainCost
                    + FAILURE_COST * state.failureShare(now)
                    + OTHER_DOMAIN_COST * random.nextDouble() / 2;
        };
        return choose(usableTargets(service, exclude), cost, GOOD_TARGET_COST, now);
    }

    /** Returns the requests that are probably in flight at a plain target now. */
    double busyRequests(TargetState state) {
        return state.ownRequests() + PEER_REQUESTS_WEIGHT * state.peerRequests();
    }

    /** Returns the speed of a target relative to the average of its service, 1 for average. */
    private double speed(TargetState state, long now) {
        return speeds.isEnabled() ? state.speed().factor(now) : 1;
    }

    /** Returns the speed of a target, lowered for a while after a call that took much longer than predicted. */
    private double effectiveSpeed(TargetState state, long now) {
        return speeds.isEnabled() ? state.speed().factor(now) / state.speed().peakSlowdown(now) : 1;
    }

    /** Returns the prompt tokens that an engine of average speed reads in a millisecond. */
    private double readRate(ServiceName service) {
        return speeds.isEnabled() ? speeds.of(service).readRate(timer.nanos()) : ServiceModel.INITIAL_READ_RATE;
    }

    /** Chooses the engine for a generation; empty if there is none. */
    Optional<TargetState> chooseEngine(ServiceSpec service, Generation generation, Set<TargetId> exclude) {
        return chooseEngine(service, generation, Optional.empty(), exclude, state -> true);
    }

    /** Returns whether a service has an engine that may be sent requests. */
    boolean hasEngine(ServiceName service, Set<TargetId> exclude) {
        return !usableTargets(service, exclude).isEmpty();
    }

    /**
     * Chooses the engine for a generation among those that are eligible; empty if there is none.
     *
     * @param gapObjective longest pause between events that the caller expects; empty if it expects none
     * @param eligible returns whether the generation may go to an engine
     */
    Optional<TargetState> chooseEngine(
            ServiceSpec service,
            Generation generation,
            Optional<Duration> gapObjective,
            Set<TargetId> exclude,
            Predicate<TargetState> eligible) {
        long now = timer.nanos();
        double capacity = service.engine().orElseThrow().memoryTokens();
        return choose(
                usableTargets(service.name(), exclude).stream().filter(eligible).toList(),
                state -> engineCost(state, capacity, generation, now) + pauseCost(state, generation, gapObjective, now),
                GOOD_ENGINE_MS,
                now);
    }

    /** Returns the cost of an engine whose events would be further apart than the caller of a long one expects. */
    private double pauseCost(TargetState state, Generation generation, Optional<Duration> gapObjective, long now) {
        double speed = speed(state, now);
        if (speed >= 1 || gapObjective.isEmpty() || !generation.isLong()) {
            return 0;
        }
        double objective = Math.max(1, gapObjective.get().toMillis());
        double running = state.ownRequests() + state.peerRequests() + 1;
        double pause = speeds.of(state.target().service()).eventMs(running, 1) / speed;
        return PAUSE_MS * Math.clamp(pause / objective - 1, 0, 1);
    }

    private double engineCost(TargetState state, double capacity, Generation generation, long now) {
        double running = state.ownRequests() + state.peerRequests();
        double memory = (state.ownTokens() + state.peerTokens() + generation.expectedMemory(0)) / capacity;
        double domainCost = state.target().failureDomain().equals(ownDomain) ? 0 : OTHER_DOMAIN_MS;
        double speed = speed(state, now);
        return promptReadMs(state, generation, now)
                + MS_PER_RUNNING_GENERATION * running / speed
                + OVERFLOW_MS * Math.max(0, memory - PLANNED_MEMORY_SHARE)
                + state.target().coldMs()
                + OVERFLOW_MS / 10 * state.failureShare(now)
                + domainCost
                + JITTER_MS * random.nextDouble();
    }

    /**
     * Returns the share of each engine's memory that new generations may fill. While engines leave, memory equal to
     * that of one engine is kept free across the others: running generations have to migrate, and take precedence over
     * those that have not started.
     */
    double newWorkMemoryShare(ServiceName service) {
        int engines = directory.candidates(service).size();
        if (engines < 2 || !hasLeavingEngines(service)) {
            return PLANNED_MEMORY_SHARE;
        }
        return Math.min(PLANNED_MEMORY_SHARE, Math.max(MIN_NEW_WORK_SHARE, 1 - 1.0 / engines));
    }

    /**
     * Returns the share of each engine's memory up to which filling work, which yields to other generations, is
     * offered. While engines leave, work that waits at an engine beyond its memory would take the capacity that
     * migrating generations need, and would be interrupted and read again.
     */
    double fillingMemoryShare(ServiceName service) {
        return hasLeavingEngines(service) ? FULL_MEMORY_SHARE : OVERFULL_MEMORY_SHARE;
    }

    private boolean hasLeavingEngines(ServiceName service) {
        return directory.leavingCount(service, LEAVING_WINDOW) > 0;
    }

    /**
     * Returns the time that an engine needs to read the prompts that wait there and the prompt of one more generation.
     */
    Duration promptReadTime(TargetState state, Generation generation) {
        return Duration.ofMillis((long) promptReadMs(state, generation, timer.nanos()));
    }

    private double promptReadMs(TargetState state, Generation generation, long now) {
        double tokens = state.unreadTokens() + state.peerUnreadTokens() + generation.promptTokens();
        return tokens / (readRate(state.target().service()) * speed(state, now));
    }

    /** Returns the shortest time in which an engine of a service can have read the prompt of one more generation. */
    Optional<Duration> shortestReadTime(ServiceName service, Generation generation, Set<TargetId> exclude) {
        return usableTargets(service, exclude).stream()
                .map(state -> promptReadTime(state, generation))
                .min(Comparator.naturalOrder());
    }

    /** Returns whether a generation fits into the given share of an engine's memory. */
    boolean hasCapacity(ServiceSpec service, Generation generation, TargetState state, double share) {
        double capacity = service.engine().orElseThrow().memoryTokens();
        long used = state.ownTokens() + state.peerTokens();
        // An empty engine takes any generation that fits: one larger than the share would never start.
        return used + generation.expectedMemory(0)
                <= (used == 0 ? Math.max(share, FULL_MEMORY_SHARE) : share) * capacity;
    }

    /**
     * Chooses the engine that receives a copy of a generation and has memory to spare. Engines in the failure domain of
     * the source are preferred, since a copy to another domain takes twice as long.
     */
    Optional<TargetState> chooseCopyHolder(
            ServiceSpec service, Generation generation, TargetState source, double share, Set<TargetId> exclude) {
        long memory = generation.expectedMemory(0);
        long now = timer.nanos();
        FailureDomain sourceDomain = source.target().failureDomain();
        List<TargetState> withCapacity = usableTargets(service.name(), exclude).stream()
                .filter(state -> state != source && !state.isSuspended(now))
                .filter(state -> hasCapacity(service, generation, state, share))
                .toList();
        List<TargetState> inDomain = withCapacity.stream()
                .filter(state -> state.target().failureDomain().equals(sourceDomain))
                .toList();
        return cheapest(
                inDomain.isEmpty() ? withCapacity : inDomain,
                state -> state.ownTokens() + state.peerTokens() + random.nextDouble() * memory / 2);
    }
}
