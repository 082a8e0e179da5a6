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
import org.verbenatally.policy.Dispatcher;
import org.verbenatally.policy.Fingerprint;
import org.verbenatally.policy.Flight;
import org.verbenatally.policy.FlightEnd;
import org.verbenatally.policy.PolicySuite;
import org.verbenatally.policy.ReportedLoad;
import org.verbenatally.policy.SuspectTable;
import org.verbenatally.policy.TargetTable;
import org.verbenatally.policy.WorkRequest;
import org.verbenatally.standin.EngineOptions;
import org.verbenatally.standin.SteppedEngine;

/**
 * Compares policies in memory and in virtual time: real dispatchers, the engine stand-in's batching and memory model,
 * and nothing else of the system. Trial figures only; the real path is measured with processes.
 */
final class PolicyTrial {
    private static final long MS = 1_000_000;
    private static final long SECOND = 1000 * MS;
    private static final Duration POLL = Duration.ofMillis(500);
    private static final Duration GOSSIP = Duration.ofMillis(500);
    private static final Duration SNAPSHOT = Duration.ofMillis(50);
    private static final ModelName MODEL = new ModelName("draft");
    private static final FailureDomain DOMAIN = new FailureDomain("aarhus");

    /**
     * What to run.
     *
     * @param policy name of the suite
     * @param entries entry instances
     * @param engines engines
     * @param load offered load as a share of capacity
     * @param lagMs lag of the load reports, in milliseconds
     * @param seconds measured time, after a quarter of it as warm-up
     * @param seed seed of the arrivals; the same for all policies
     * @param deployment whose workload is offered
     */
    record Setting(
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
        final SteppedEngine model;
        final Map<SteppedEngine.Generation, Running> running = new HashMap<>();
        final List<ReportedLoad> snapshots = new ArrayList<>();
        boolean stepping;

        Engine(TargetId id, EngineOptions options) {
            this.id = id;
            this.model = new SteppedEngine(options);
        }

        void step() {
            if (stepping || model.isIdle()) {
                return;
            }
            stepping = true;
            time.at(time.nanos() + (long) (model.beginStep() * MS), () -> {
                stepping = false;
                model.endStep();
                List.copyOf(running.keySet()).forEach(this::deliver);
                step();
            });
        }

        private void deliver(SteppedEngine.Generation generation) {
            Running job = running.get(generation);
            if (model.tokens(generation) > job.tokens) {
                job.tokens++;
                job.flight.token();
                metrics.token(job.call);
            }
            if (generation.isDone()) {
                running.remove(generation);
                metrics.done(job.call, job.tokens);
                job.flight.end(FlightEnd.DONE);
            }
        }

        void snapshot() {
            snapshots.add(new ReportedLoad(
                    new Incarnation(1),
                    time.epochMillis(),
                    model.running(),
                    model.waiting(),
                    model.usedTokens(),
                    options.kvTokens(),
                    model.preemptions(),
                    Set.of(MODEL),
                    false));
        }

        ReportedLoad report() {
            while (snapshots.size() > 1 && snapshots.get(1).atMs() <= time.epochMillis() - setting.lagMs()) {
                snapshots.removeFirst();
            }
            return snapshots.getFirst();
        }
    }

    private static final class Running {
        final TrialMetrics.Call call;
        final Flight flight;
        int tokens;

        Running(TrialMetrics.Call call, Flight flight) {
            this.call = call;
            this.flight = flight;
        }
    }

    private record Entry(InstanceId id, TargetTable table, Dispatcher dispatcher) {}

    private final Setting setting;
    private final EngineOptions options;
    private final VirtualTime time = new VirtualTime();
    private final TrialMetrics metrics;
    private final Map<TargetId, Engine> engines = new HashMap<>();
    private final List<Entry> entries = new ArrayList<>();
    private final Deployment deployment;
    private final UniformRandomProvider random;
    private final Workload workload;
    private long serial;

    PolicyTrial(Setting setting, EngineOptions options) {
        this.setting = setting;
        this.options = options;
        long warmUp = setting.seconds() * SECOND / 4;
        this.metrics = new TrialMetrics(time, warmUp, warmUp + setting.seconds() * SECOND);
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(setting.seed());
        this.workload = Workload.of(setting.deployment(), 1);
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
        for (int i = 0; i < setting.engines(); i++) {
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
                setting.entries(),
                new Deployment.Limits(1 << 20, 512),
                new Deployment.Levels(480, 54, 0.95),
                organisations,
                kinds,
                targets,
                6);
    }

    /** Runs the trial and returns what was measured. */
    TrialMetrics run() {
        for (int i = 0; i < setting.entries(); i++) {
            TargetTable table = new TargetTable(time);
            SuspectTable suspects = new SuspectTable(time);
            Dispatcher dispatcher = new Dispatcher(time, table, suspects, DOMAIN, PolicySuite.byName(setting.policy()));
            dispatcher.configure(deployment);
            entries.add(new Entry(new InstanceId("entry-" + i), table, dispatcher));
        }
        engines.values().forEach(Engine::snapshot);
        time.every(SNAPSHOT, tick -> engines.values().forEach(Engine::snapshot));
        // Entries start at different times, so their periods are not aligned.
        for (int i = 0; i < entries.size(); i++) {
            Entry entry = entries.get(i);
            time.at(i * 61 * MS, () -> {
                time.every(
                        POLL,
                        tick -> engines.values().forEach(e -> entry.table().report(e.id, e.report())));
                time.every(GOSSIP, tick -> gossip(entry));
            });
        }
        scheduleArrival();
        time.runUntil(metrics.end());
        metrics.preemptions(
                engines.values().stream().mapToLong(e -> e.model.preemptions()).sum());
        return metrics;
    }

    private void gossip(Entry from) {
        var loads = from.table().ownLoads();
        entries.stream().filter(e -> e != from).forEach(e -> e.table().peerLoads(from.id(), loads));
    }

    private void scheduleArrival() {
        // As in the load tool: twice the rate for 4 s in every 20 s.
        double mean = workload.capacity(options, setting.engines()) * setting.load();
        boolean bursting = time.nanos() / SECOND % 20 < 4;
        double rate = mean / 1.2 * (bursting ? 2 : 1);
        double gap = -Math.log(1 - random.nextDouble()) / rate;
        time.at(time.nanos() + (long) (gap * SECOND), () -> {
            arrive();
            scheduleArrival();
        });
    }

    private void arrive() {
        KindLoad load = workload.sampleKind(random);
        int length = workload.sampleLength(load, random);
        double draw = random.nextDouble();
        Entry entry = entries.get(random.nextInt(entries.size()));
        if (!load.runsOnEngine()) {
            return;
        }
        Kind kind = deployment.kinds().get(new KindName(load.kind()));
        int organisation = draw < 0.5 ? (int) (draw * 4) : 2 + (int) ((draw - 0.5) * 16);
        Organisation owner = deployment.organisations().get(new OrganisationId("org-" + organisation));
        long number = ++serial;
        TrialMetrics.Call call = metrics.arrived(kind, organisation);
        WorkRequest request = new WorkRequest(
                kind,
                owner,
                workload.prefixTokens(load),
                0,
                new Fingerprint(number, number),
                time.nanos() + kind.deadline().toNanos(),
                Set.of());
        entry.dispatcher().acquire(request).whenComplete((flight, failure) -> {
            if (failure != null) {
                metrics.refused(call);
            } else {
                send(call, flight, load, length, number);
            }
        });
    }

    private void send(TrialMetrics.Call call, Flight flight, KindLoad load, int length, long number) {
        Engine engine = engines.get(flight.target());
        String marker = "[len=" + length + "] " + number + " ";
        String prompt = marker + "x".repeat(Math.max(0, 4 * workload.prefixTokens(load) - marker.length()));
        int priority = call.isUrgent() ? 1 : 0;
        time.at(time.nanos() + MS, () -> {
            SteppedEngine.Generation generation = engine.model.add("org", prompt, priority, load.maxLength());
            engine.running.put(generation, new Running(call, flight));
            engine.step();
        });
    }
}
