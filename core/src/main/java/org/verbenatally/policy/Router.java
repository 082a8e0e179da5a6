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

/** Collects the candidates for a request, asks the routing policy, and keeps suspects apart. */
final class Router {
    private static final double TYPICAL_TOKENS = 256;
    /** A prefix is only a part of its prompt, and its length is not known here. */
    private static final int PREFIX_PART = 2;

    private final TimerService timer;
    private final TargetTable targets;
    private final SuspectTable suspects;
    private final PolicySuite policies;
    private final LengthModel lengths;
    private final FailureDomain failureDomain;
    private final PrefixTable prefixes = new PrefixTable();
    private volatile FlightView view = FlightView.initial(TYPICAL_TOKENS, 1);
    private volatile int entries = 1;

    Router(
            TimerService timer,
            TargetTable targets,
            SuspectTable suspects,
            PolicySuite policies,
            LengthModel lengths,
            FailureDomain failureDomain) {
        this.timer = timer;
        this.targets = targets;
        this.suspects = suspects;
        this.policies = policies;
        this.lengths = lengths;
        this.failureDomain = failureDomain;
    }

    void configure(Deployment deployment) {
        entries = deployment.entryCount();
        double typical = deployment.kinds().values().stream()
                .filter(k -> k.runsOn() == TargetType.ENGINE)
                .mapToInt(Kind::typicalTokens)
                .average()
                .orElse(TYPICAL_TOKENS);
        view = FlightView.initial(typical, entries);
    }

    /** Summarises this entry's flights for the estimates of what others run. */
    void renewView() {
        List<RunningFlight> flights = new ArrayList<>();
        for (TargetState state : targets.states()) {
            if (state.target().type() == TargetType.ENGINE && state.ownRequests() > 0) {
                flights.addAll(state.flights());
            }
        }
        view = view.renewed(flights, entries);
    }

    /** Remembers where a request went. */
    void started(WorkRequest request, TargetState state) {
        prefixes.ran(request.prefixHash(), state.target().id());
    }

    /** Returns the target for a request; a suspect has it reserved. Empty if the request should wait. */
    Optional<TargetState> choose(WorkRequest request) {
        long now = timer.nanos();
        boolean suspect = suspects.check(request.fingerprint()) == SuspectTable.Verdict.ISOLATE;
        Predicate<TargetState> filter = state -> state.mayRun(request.kind())
                && !state.refusing(now)
                && !request.exclude().contains(state.target().id())
                && !(suspect && suspects.runsSuspect(state.target().id()));
        UniformRandomProvider random = ThreadLocalRandomSource.current(RandomSource.XO_RO_SHI_RO_128_PP);
        TargetState preferred =
                prefixes.target(request.prefixHash()).map(targets::state).orElse(null);
        List<TargetState> sample =
                CandidateSampler.sample(targets.configured(request.kind()), filter, preferred, random);
        if (sample.isEmpty()) {
            return Optional.empty();
        }
        Map<TargetId, TargetState> states = new HashMap<>();
        List<TargetSnapshot> candidates = new ArrayList<>(sample.size());
        for (TargetState state : sample) {
            int prefix = state == preferred ? request.promptTokens() / PREFIX_PART : 0;
            TargetSnapshot snapshot = state.snapshot(now, view, prefix, policies.adaptive());
            states.put(snapshot.target(), state);
            candidates.add(snapshot);
        }
        Optional<TargetState> choice =
                policies.routing().choose(input(request, candidates)).map(states::get);
        // A peer or another thread may have taken the target for a suspect in the meantime.
        return suspect
                ? choice.filter(
                        s -> suspects.reserve(request.fingerprint(), s.target().id()))
                : choice;
    }

    private RoutingInput input(WorkRequest request, List<TargetSnapshot> candidates) {
        return new RoutingInput(
                request.kind(),
                request.organisation().id(),
                request.promptTokens(),
                request.kind().runsOn() == TargetType.ENGINE
                        ? lengths.expectedRemaining(
                                request.kind(), request.organisation().id(), 0)
                        : 0,
                failureDomain,
                candidates);
    }
}
