package org.verbenatally.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
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
import org.verbenatally.wire.TargetLoad;

/**
 * Measures the time of a routing decision and the memory of a target with increasing numbers of targets and
 * organisations.
 */
final class DecisionBench {
    private static final int[] TARGET_COUNTS = {11, 110, 1_100, 4_100};
    private static final int[] ORGANISATION_COUNTS = {10, 100, 1_000, 6_200};
    private static final int OPEN_REQUESTS = 600;
    private static final ModelName MODEL = new ModelName("m");
    private static final FailureDomain DOMAIN = new FailureDomain("d");

    private final int decisions;
    private final JsonArray rows = new JsonArray();

    DecisionBench(boolean quick) {
        decisions = quick ? 20_000 : 200_000;
    }

    void run() {
        measure(TARGET_COUNTS[1], ORGANISATION_COUNTS[1]);
        rows.clear();
        System.out.printf("%8s %14s %16s %14s%n", "targets", "organisations", "ns a decision", "bytes a target");
        for (int targets : TARGET_COUNTS) {
            measure(targets, ORGANISATION_COUNTS[0]);
        }
        for (int organisations : ORGANISATION_COUNTS) {
            measure(TARGET_COUNTS[1], organisations);
        }
        measure(TARGET_COUNTS[3], ORGANISATION_COUNTS[3]);
        System.out.println(
                new JsonObject().put("decisions", decisions).put("rows", rows).encode());
    }

    private void measure(int targets, int organisations) {
        VirtualTime time = new VirtualTime();
        Deployment deployment = deployment(targets, organisations);
        long usedBefore = usedBytes();
        TargetTable table = new TargetTable(time);
        try (Dispatcher dispatcher =
                new Dispatcher(time, table, new SuspectTable(time), DOMAIN, PolicySuite.byName(PolicySuite.DEFAULT))) {
            dispatcher.configure(deployment);
            reportLoads(time, table, deployment);
            // In small tables, unrelated garbage outweighs the memory of the targets.
            double bytesPerTarget = targets < 1_000 ? Double.NaN : (usedBytes() - usedBefore) / (double) targets;
            double decisionNanos = nanosPerDecision(time, dispatcher, deployment);
            System.out.printf(
                    Locale.ROOT, "%8d %14d %16.0f %14.0f%n", targets, organisations, decisionNanos, bytesPerTarget);
            rows.add(new JsonObject()
                    .put("targets", targets)
                    .put("organisations", organisations)
                    .put("nanosADecision", Math.round(decisionNanos))
                    .put("bytesATarget", Double.isNaN(bytesPerTarget) ? null : Math.round(bytesPerTarget)));
        }
    }

    private static void reportLoads(VirtualTime time, TargetTable table, Deployment deployment) {
        List<TargetLoad> loads = new ArrayList<>();
        for (TargetId id : deployment.targets().keySet()) {
            loads.add(new TargetLoad(id.value(), 1, 500));
        }
        for (int round = 0; round < 4; round++) {
            time.runUntil(time.nanos() + 500_000_000);
            table.setPeerLoads(new InstanceId("peer"), loads);
            for (TargetId id : deployment.targets().keySet()) {
                table.recordReport(
                        id,
                        new ReportedLoad(
                                new Incarnation(1), time.epochMillis(), 8, 0, 8_000, 40_960, 0, Set.of(MODEL), false));
            }
        }
    }

    private double nanosPerDecision(VirtualTime time, Dispatcher dispatcher, Deployment deployment) {
        List<Organisation> organisations =
                List.copyOf(deployment.organisations().values());
        Kind kind = deployment.kinds().values().iterator().next();
        InFlightRequest[] inFlight = new InFlightRequest[OPEN_REQUESTS];
        long start = 0;
        // The first half warms up the JIT compiler and fills the slots of open requests.
        for (int i = 0; i < 2 * decisions; i++) {
            if (i == decisions) {
                start = System.nanoTime();
            }
            int slot = i % OPEN_REQUESTS;
            if (inFlight[slot] != null) {
                inFlight[slot].recordToken();
                inFlight[slot].end(AttemptEnd.DONE);
            }
            Organisation organisation = organisations.get(i % organisations.size());
            long deadline = time.nanos() + 60_000_000_000L;
            WorkRequest request =
                    new WorkRequest(kind, organisation, 300, i % 512, new Fingerprint(i, i), deadline, Set.of());
            inFlight[slot] = dispatcher.acquire(request).getNow(null);
            if (i % 100 == 0) {
                // 40 requests a second arrive at an entry in a deployment of the intended size.
                time.runUntil(time.nanos() + 100_000_000);
            }
        }
        return (System.nanoTime() - start) / (double) decisions;
    }

    private static Deployment deployment(int targetCount, int organisationCount) {
        Map<TargetId, Target> targets = new HashMap<>();
        for (int i = 0; i < targetCount; i++) {
            TargetId id = new TargetId("engine-" + i);
            Target.LoadedModel model = new Target.LoadedModel(MODEL, "1", List.of());
            Address address = new Address("127.0.0.1", 1 + i);
            targets.put(
                    id,
                    new Target(id, TargetType.ENGINE, address, DOMAIN, List.of(model), "serve", false, 1000, false));
        }
        Map<OrganisationId, Organisation> organisations = new HashMap<>();
        for (int i = 0; i < organisationCount; i++) {
            OrganisationId id = new OrganisationId("org-" + i);
            organisations.put(id, new Organisation(id, "0".repeat(64), 1, 1000, 10_000, Optional.empty()));
        }
        Kind kind = new Kind(
                new KindName("chat"),
                TargetType.ENGINE,
                Optional.of(MODEL),
                Optional.empty(),
                Kind.Urgency.URGENT,
                Kind.Value.HIGH,
                true,
                Kind.Delivery.STREAM,
                Duration.ofMinutes(10),
                16_384,
                200,
                3);
        return new Deployment(
                "bench",
                new ConfigVersion(1),
                330,
                new Deployment.Limits(1 << 20, 512),
                new Deployment.Levels(480, 54, 0.95),
                organisations,
                Map.of(kind.name(), kind),
                targets,
                6);
    }

    private static long usedBytes() {
        Runtime runtime = Runtime.getRuntime();
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
