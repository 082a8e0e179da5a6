package org.verbenatally.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.verbenatally.config.Deployment;
import org.verbenatally.config.Kind;
import org.verbenatally.config.Organisation;
import org.verbenatally.config.Target;
import org.verbenatally.config.TargetType;
import org.verbenatally.core.Address;
import org.verbenatally.core.ConfigVersion;
import org.verbenatally.core.FailureDomain;
import org.verbenatally.core.Incarnation;
import org.verbenatally.core.InstanceId;
import org.verbenatally.core.KindName;
import org.verbenatally.core.ModelName;
import org.verbenatally.core.OrganisationId;
import org.verbenatally.core.TargetId;
import org.verbenatally.policy.AttemptEnd;
import org.verbenatally.policy.Dispatcher;
import org.verbenatally.policy.Fingerprint;
import org.verbenatally.policy.InFlightRequest;
import org.verbenatally.policy.PolicySuite;
import org.verbenatally.policy.ReportedLoad;
import org.verbenatally.policy.SuspectTable;
import org.verbenatally.policy.TargetTable;
import org.verbenatally.policy.WorkRequest;
import org.verbenatally.standin.EngineOptions;
import org.verbenatally.standin.SteppedEngine;

/**
 * Runs one policy in memory and in virtual time. Uses the real dispatchers and the batching and memory model of the
 * engine stand-in, and no other part of the system. Its figures are trial figures; {@link PolicyBench} measures the
 * real request path in processes.
 */
final class PolicyTrial {
    private static final long NANOS_PER_MS = 1_000_000;
    private static final long NANOS_PER_SECOND = 1000 * NANOS_PER_MS;
    private static final Duration POLL_PERIOD = Duration.ofMillis(500);
    private static final Duration GOSSIP_PERIOD = Duration.ofMillis(500);
    private static final Duration SNAPSHOT_PERIOD = Duration.ofMillis(50);
    private static final ModelName MODEL = new ModelName("draft");
    private static final FailureDomain DOMAIN = new FailureDomain("aarhus");

    /**
     * Parameters of a trial.
     * @param policy name of the policy suite
     * @param entries number of entry instances
     * @param engines number of engines
     * @param load offered load as a share of capacity
     * @param lagMs lag of the load reports, in milliseconds
     * @param seconds measured time, in seconds; a warm-up of a quarter of this time precedes it
     * @param seed seed of the arrivals, which is the same for all policies
     * @param deployment name of the deployment whose workload is offered
     */
    record Settings(
            String policy,
            int entries,
            int engines,
            double load,
            long lagMs,
            int seconds,
            long seed,
            String deployment) {}

    private final class Engine {
        final TargetId id;
        final SteppedEngine simulation;
        final Map<SteppedEngine.Generation, ActiveGeneration> running = new HashMap<>();
        final List<ReportedLoad> snapshots = new ArrayList<>();
        boolean stepping;

        Engine(TargetId id, EngineOptions options) {
            this.id = id;
            this.simulation = new SteppedEngine(options);
        }

        void step() {
            if (stepping || simulation.isIdle()) {
                return;
            }
            stepping = true;
            time.schedule(time.nanos() + (long) (simulation.beginStep() * NANOS_PER_MS), () -> {
                stepping = false;
                simulation.endStep();
                List.copyOf(running.keySet()).forEach(this::deliver);
                step();
            });
        }

        private void deliver(SteppedEngine.Generation generation) {
            ActiveGeneration active = running.get(generation);
            if (simulation.generatedTokens(generation) > active.tokens) {
                active.tokens++;
                active.inFlight.recordToken();
                metrics.onToken(active.trialRequest);
            }
            if (generation.isDone()) {
                running.remove(generation);
                metrics.onDone(active.trialRequest, active.tokens);
                active.inFlight.end(AttemptEnd.DONE);
            }
        }

        void takeSnapshot() {
            snapshots.add(new ReportedLoad(
                    new Incarnation(1),
                    time.epochMillis(),
                    simulation.running(),
                    simulation.waiting(),
                    simulation.usedTokens(),
                    options.kvTokens(),
                    simulation.preemptions(),
                    Set.of(MODEL),
                    false));
        }

        ReportedLoad report() {
            while (snapshots.size() > 1 && snapshots.get(1).atMs() <= time.epochMillis() - settings.lagMs()) {
                snapshots.removeFirst();
            }
            return snapshots.getFirst();
        }
    }

    private static final class ActiveGeneration {
        final TrialMetrics.Request trialRequest;
        final InFlightRequest inFlight;
        int tokens;

        ActiveGeneration(TrialMetrics.Request trialRequest, InFlightRequest inFlight) {
            this.trialRequest = trialRequest;
            this.inFlight = inFlight;
        }
    }

    private record Entry(InstanceId id, TargetTable table, Dispatcher dispatcher) {}

    private final Settings settings;
    private final EngineOptions options;
    private final VirtualTime time = new VirtualTime();
    private final TrialMetrics metrics;
    private final Map<TargetId, Engine> engines = new HashMap<>();
    private final List<Entry> entries = new ArrayList<>();
    private final Deployment deployment;
    private final UniformRandomProvider random;
    private final Workload workload;
    private long lastRequestNumber;

    PolicyTrial(Settings settings, EngineOptions options) {
        this.settings = settings;
        this.options = options;
        long warmUp = settings.seconds() * NANOS_PER_SECOND / 4;
        this.metrics = new TrialMetrics(time, warmUp, warmUp + settings.seconds() * NANOS_PER_SECOND);
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(settings.seed());
        this.workload = Workload.of(settings.deployment(), 1);
        this.deployment = deployment();
    }

    private static Kind kind(KindLoad load) {
        boolean urgent = load.kind().equals("draft-lookup");
        boolean high = load.kind().equals("guide") || load.kind().equals("speech-draft");
        return new Kind(
                new KindName(load.kind()),
                TargetType.ENGINE,
                Optional.of(MODEL),
                Optional.empty(),
                urgent ? Kind.Urgency.URGENT : Kind.Urgency.PATIENT,
                high ? Kind.Value.HIGH : Kind.Value.LOW,
                true,
                load.stream() ? Kind.Delivery.STREAM : Kind.Delivery.WHOLE,
                Duration.ofMillis(load.deadlineMs()),
                load.maxLength(),
                load.medianLength(),
                3);
    }

    private Deployment deployment() {
        Map<OrganisationId, Organisation> organisations = new HashMap<>();
        for (int i = 0; i < 10; i++) {
            OrganisationId id = new OrganisationId("org-" + i);
            organisations.put(id, new Organisation(id, "0".repeat(64), i < 2 ? 3 : 1, 1000, 100_000, Optional.empty()));
        }
        Map<KindName, Kind> kinds = new HashMap<>();
        workload.kinds().stream()
                .filter(KindLoad::runsOnEngine)
                .map(PolicyTrial::kind)
                .forEach(k -> kinds.put(k.name(), k));
        Map<TargetId, Target> targets = new HashMap<>();
        for (int i = 0; i < settings.engines(); i++) {
            TargetId id = new TargetId("engine-" + i);
            Target.LoadedModel model = new Target.LoadedModel(MODEL, "1", List.of());
            Address address = new Address("127.0.0.1", 1 + i);
            targets.put(
                    id, new Target(id, TargetType.ENGINE, address, DOMAIN, List.of(model), "serve", false, 32, false));
            engines.put(id, new Engine(id, options));
        }
        return new Deployment(
                "aarhus",
                new ConfigVersion(1),
                settings.entries(),
                new Deployment.Limits(1 << 20, 512),
                new Deployment.Levels(480, 54, 0.95),
                organisations,
                kinds,
                targets,
                6);
    }

    /** Runs the trial and returns its metrics. */
    TrialMetrics run() {
        for (int i = 0; i < settings.entries(); i++) {
            TargetTable table = new TargetTable(time);
            SuspectTable suspects = new SuspectTable(time);
            Dispatcher dispatcher =
                    new Dispatcher(time, table, suspects, DOMAIN, PolicySuite.byName(settings.policy()));
            dispatcher.configure(deployment);
            entries.add(new Entry(new InstanceId("entry-" + i), table, dispatcher));
        }
        engines.values().forEach(Engine::takeSnapshot);
        time.every(SNAPSHOT_PERIOD, tick -> engines.values().forEach(Engine::takeSnapshot));
        // Entries start at different times, so that their periods are not aligned.
        for (int i = 0; i < entries.size(); i++) {
            Entry entry = entries.get(i);
            time.schedule(i * 61 * NANOS_PER_MS, () -> {
                time.every(
                        POLL_PERIOD,
                        tick -> engines.values().forEach(e -> entry.table().recordReport(e.id, e.report())));
                time.every(GOSSIP_PERIOD, tick -> gossip(entry));
            });
        }
        scheduleArrival();
        time.runUntil(metrics.endNanos());
        metrics.finish(engines.values().stream()
                .mapToLong(e -> e.simulation.preemptions())
                .sum());
        return metrics;
    }

    private void gossip(Entry from) {
        var loads = from.table().ownLoads();
        entries.stream().filter(e -> e != from).forEach(e -> e.table().setPeerLoads(from.id(), loads));
    }

    private void scheduleArrival() {
        // As in the load tool, the rate is doubled for 4 s in every 20 s.
        double mean = workload.capacity(options, settings.engines()) * settings.load();
        boolean bursting = time.nanos() / NANOS_PER_SECOND % 20 < 4;
        double rate = mean / 1.2 * (bursting ? 2 : 1);
        double gap = -Math.log(1 - random.nextDouble()) / rate;
        time.schedule(time.nanos() + (long) (gap * NANOS_PER_SECOND), () -> {
            addRequest();
            scheduleArrival();
        });
    }

    private void addRequest() {
        KindLoad load = workload.sampleKind(random);
        int length = workload.sampleLength(load, random);
        double organisationSample = random.nextDouble();
        Entry entry = entries.get(random.nextInt(entries.size()));
        if (!load.runsOnEngine()) {
            return;
        }
        Kind kind = deployment.kinds().get(new KindName(load.kind()));
        int organisationIndex =
                organisationSample < 0.5 ? (int) (organisationSample * 4) : 2 + (int) ((organisationSample - 0.5) * 16);
        Organisation requestOrganisation =
                deployment.organisations().get(new OrganisationId("org-" + organisationIndex));
        long requestNumber = ++lastRequestNumber;
        TrialMetrics.Request trialRequest = metrics.onArrival(kind, organisationIndex);
        WorkRequest request = new WorkRequest(
                kind,
                requestOrganisation,
                workload.prefixTokens(load),
                0,
                new Fingerprint(requestNumber, requestNumber),
                time.nanos() + kind.deadline().toNanos(),
                Set.of());
        entry.dispatcher().acquire(request).whenComplete((inFlight, failure) -> {
            if (failure != null) {
                metrics.onRejected(trialRequest);
            } else {
                send(trialRequest, inFlight, load, length, requestNumber);
            }
        });
    }

    private void send(
            TrialMetrics.Request trialRequest,
            InFlightRequest inFlight,
            KindLoad load,
            int length,
            long requestNumber) {
        Engine engine = engines.get(inFlight.target());
        String marker = "[len=" + length + "] " + requestNumber + " ";
        String prompt = marker + "x".repeat(Math.max(0, 4 * workload.prefixTokens(load) - marker.length()));
        int priority = trialRequest.isUrgent() ? 1 : 0;
        time.schedule(time.nanos() + NANOS_PER_MS, () -> {
            SteppedEngine.Generation generation = engine.simulation.add("org", prompt, priority, load.maxLength());
            engine.running.put(generation, new ActiveGeneration(trialRequest, inFlight));
            engine.step();
        });
    }
}
