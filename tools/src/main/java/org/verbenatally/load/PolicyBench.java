package org.verbenatally.load;

import java.util.HashMap;
import java.util.Map;

import io.vertx.core.json.JsonObject;
import org.verbenatally.faults.BenchCluster;
import org.verbenatally.policy.PolicySuite;
import org.verbenatally.standin.EngineOptions;

/**
 * Compares policies with entry processes and engine stand-ins on loopback. Output lengths and key-value memory are a
 * quarter of the real ones, so that a run of one minute reaches a steady state.
 */
final class PolicyBench {
    private static final double SCALE = 0.25;
    private static final int DRAIN_SECONDS = 30;
    private static final int BURST_FACTOR = 2;

    private final BenchPlan plan;
    private final BenchTable table = new BenchTable();

    PolicyBench(BenchPlan plan) {
        this.plan = plan;
    }

    void run() {
        for (double load : plan.loads()) {
            for (double lagMs : plan.lags()) {
                plan.policies().forEach(policy -> run(policy, load, (long) lagMs));
            }
        }
        table.print(new JsonObject()
                .put("kind", "processes on loopback")
                .put("deployment", plan.deployment())
                .put("entries", plan.entries())
                .put("lengthScale", SCALE)
                .put("seconds", plan.seconds())
                .put("seed", plan.seed()));
    }

    private void run(String policy, double load, long lagMs) {
        EngineOptions defaults = EngineOptions.defaults("engine");
        Map<String, String> engineOverrides = new HashMap<>();
        engineOverrides.put("kvTokens", Integer.toString((int) (defaults.kvTokens() * SCALE)));
        engineOverrides.put("prefixCacheTokens", Integer.toString((int) (defaults.prefixCacheTokens() * SCALE)));
        engineOverrides.put("reportLagMs", Long.toString(lagMs));
        Workload workload = Workload.of(plan.deployment(), SCALE);
        try (BenchCluster cluster = BenchCluster.start(
                plan.deployment(),
                plan.entries(),
                plan.seed(),
                engineOverrides,
                Map.of(PolicySuite.PROPERTY, policy))) {
            EngineOptions scaled = defaults.with(Map.of("kvTokens", (int) (defaults.kvTokens() * SCALE)));
            double rate =
                    load * workload.capacity(scaled, cluster.engineAddresses().size());
            LoadOptions options = new LoadOptions(
                    workload,
                    Caller.of(cluster.deployment()),
                    cluster.entryAddresses(),
                    cluster.engineAddresses(),
                    rate,
                    plan.seconds(),
                    plan.seconds() / 4,
                    DRAIN_SECONDS,
                    plan.seed(),
                    BURST_FACTOR,
                    4,
                    20,
                    "",
                    false);
            addRow(policy, load, lagMs, new LoadRun(options).run().summary());
        } catch (RuntimeException e) {
            System.err.println("bench: " + policy + " failed: " + e);
        }
    }

    private void addRow(String policy, double load, long lagMs, JsonObject summary) {
        JsonObject all = summary.getJsonObject("all");
        JsonObject urgent = summary.getJsonObject("byKind").getJsonObject("draft-lookup", new JsonObject());
        table.add(new BenchTable.Row(
                policy,
                load,
                lagMs,
                all.getDouble("stallSeconds"),
                summary.getJsonObject("engines").getLong("preemptions"),
                all.getJsonObject("tokenGapMs").getDouble("p99"),
                all.getDouble("goodputTokensPerSecond"),
                all.getLong("notRun"),
                urgent.getDouble("withinLevels", -1.0),
                urgent.getJsonObject("firstTokenMs", new JsonObject()).getDouble("p95", -1.0)));
    }
}
