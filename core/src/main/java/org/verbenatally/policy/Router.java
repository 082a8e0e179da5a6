package org.verbenatally.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.apache.commons.rng.simple.ThreadLocalRandomSource;
import org.verbenatally.config.Deployment;
import org.verbenatally.config.Kind;
import org.verbenatally.config.TargetType;
import org.verbenatally.core.FailureDomain;
import org.verbenatally.core.TargetId;
import org.verbenatally.time.TimerService;

/** Collects the candidate targets for a request, applies the routing policy, and keeps suspects on separate targets. */
final class Router {
    private static final double DEFAULT_TYPICAL_TOKENS = 256;
    /**
     * Assumed ratio of the prompt to its cached prefix: a prefix is only a part of its prompt, and its length is not
     * known here.
     */
    private static final int PREFIX_DIVISOR = 2;

    private final TimerService timer;
    private final TargetTable targets;
    private final SuspectTable suspects;
    private final PolicySuite policies;
    private final LengthModel lengthModel;
    private final FailureDomain failureDomain;
    private final PrefixTable prefixes = new PrefixTable();
    private volatile InFlightSummary summary = InFlightSummary.initial(DEFAULT_TYPICAL_TOKENS, 1);
    private volatile int entryCount = 1;

    Router(
            TimerService timer,
            TargetTable targets,
            SuspectTable suspects,
            PolicySuite policies,
            LengthModel lengthModel,
            FailureDomain failureDomain) {
        this.timer = timer;
        this.targets = targets;
        this.suspects = suspects;
        this.policies = policies;
        this.lengthModel = lengthModel;
        this.failureDomain = failureDomain;
    }

    void configure(Deployment deployment) {
        entryCount = deployment.entryCount();
        double typical = deployment.kinds().values().stream()
                .filter(k -> k.runsOn() == TargetType.ENGINE)
                .mapToInt(Kind::typicalTokens)
                .average()
                .orElse(DEFAULT_TYPICAL_TOKENS);
        summary = InFlightSummary.initial(typical, entryCount);
    }

    /**
     * Summarises the requests that this entry has in flight; estimates of the requests of its peers are based on the
     * summary.
     */
    void refreshSummary() {
        List<DispatchedRequest> inFlight = new ArrayList<>();
        for (TargetState state : targets.states()) {
            if (state.target().type() == TargetType.ENGINE && state.ownRequests() > 0) {
                inFlight.addAll(state.inFlight());
            }
        }
        summary = summary.updated(inFlight, entryCount);
    }

    /** Records the target of a request for its prompt prefix. */
    void onDispatched(WorkRequest request, TargetState state) {
        prefixes.recordTarget(request.prefixHash(), state.target().id());
    }

    /**
     * Returns the target for a request, or empty if the request should wait. The target is reserved if the request is a
     * suspect.
     */
    Optional<TargetState> choose(WorkRequest request) {
        long now = timer.nanos();
        boolean suspect = suspects.verdict(request.fingerprint()) == SuspectTable.Verdict.ISOLATE;
        Predicate<TargetState> filter = state -> state.isEligibleFor(request.kind())
                && !state.isInBackoff(now)
                && !request.excludedTargets().contains(state.target().id())
                && !(suspect && suspects.runsSuspect(state.target().id()));
        UniformRandomProvider random = ThreadLocalRandomSource.current(RandomSource.XO_RO_SHI_RO_128_PP);
        TargetState preferred =
                prefixes.lastTarget(request.prefixHash()).map(targets::state).orElse(null);
        List<TargetState> sampled =
                CandidateSampler.sample(targets.configuredFor(request.kind()), filter, preferred, random);
        if (sampled.isEmpty()) {
            return Optional.empty();
        }
        Map<TargetId, TargetState> states = new HashMap<>();
        List<TargetSnapshot> candidates = new ArrayList<>(sampled.size());
        for (TargetState state : sampled) {
            int prefixTokens = state == preferred ? request.promptTokens() / PREFIX_DIVISOR : 0;
            TargetSnapshot snapshot = state.snapshot(now, summary, prefixTokens, policies.adaptive());
            states.put(snapshot.target(), state);
            candidates.add(snapshot);
        }
        Optional<TargetState> choice =
                policies.routing().choose(routingInput(request, candidates)).map(states::get);
        // A peer or another thread may have reserved the target for another suspect in the meantime.
        return suspect
                ? choice.filter(
                        s -> suspects.reserve(request.fingerprint(), s.target().id()))
                : choice;
    }

    private RoutingInput routingInput(WorkRequest request, List<TargetSnapshot> candidates) {
        return new RoutingInput(
                request.kind(),
                request.organisation().id(),
                request.promptTokens(),
                request.kind().runsOn() == TargetType.ENGINE
                        ? lengthModel.expectedRemaining(
                                request.kind(), request.organisation().id(), 0)
                        : 0,
                failureDomain,
                candidates);
    }
}
