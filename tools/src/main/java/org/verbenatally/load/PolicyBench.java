package org.verbenatally.load;

import java.util.HashMap;
import java.util.Map;

import io.vertx.core.json.JsonObject;
import org.verbenatally.faults.BenchCluster;
import org.verbenatally.policy.PolicySuite;
import org.verbenatally.standin.EngineOptions;

/**
 * Compares policies with entry processes and engine stand-ins on loopback. Lengths and key-value memory are a quarter
 * of the real ones, so that a run of a minute reaches a steady state.
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
            for (double lag : plan.lags()) {
                plan.policies().forEach(policy -> run(policy, load, (long) lag));
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

    private void run(String policy, double load, long lag) {
        EngineOptions defaults = EngineOptions.defaults("engine");
        Map<String, String> engine = new HashMap<>();
        engine.put("kvTokens", Integer.toString((int) (defaults.kvTokens() * SCALE)));
        engine.put("prefixCacheTokens", Integer.toString((int) (defaults.prefixCacheTokens() * SCALE)));
        engine.put("reportLagMs", Long.toString(lag));
        Workload workload = Workload.of(plan.deployment(), SCALE);
        try (BenchCluster cluster = BenchCluster.start(
                plan.deployment(), plan.entries(), plan.seed(), engine, Map.of(PolicySuite.PROPERTY, policy))) {
            EngineOptions scaled = defaults.with(Map.of("kvTokens", (int) (defaults.kvTokens() * SCALE)));
            double rate = load * workload.capacity(scaled, cluster.engines().size());
            LoadOptions options = new LoadOptions(
                    workload,
                    Caller.of(cluster.deployment()),
                    cluster.entries(),
                    cluster.engines(),
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
            add(policy, load, lag, new LoadRun(options).run().summary());
        } catch (RuntimeException e) {
            System.err.println("bench: " + policy + " failed: " + e);
        }
    }

    private void add(String policy, double load, long lag, JsonObject summary) {
        JsonObject all = summary.getJsonObject("all");
        JsonObject urgent = summary.getJsonObject("byKind").getJsonObject("draft-lookup", new JsonObject());
        table.add(new BenchTable.Row(
                policy,
                load,
                lag,
                all.getDouble("stallSeconds"),
                summary.getJsonObject("engines").getLong("preemptions"),
                all.getJsonObject("tokenGapMs").getDouble("p99"),
                all.getDouble("goodputTokensPerSecond"),
                all.getLong("notRun"),
                urgent.getDouble("withinLevels", -1.0),
                urgent.getJsonObject("firstTokenMs", new JsonObject()).getDouble("p95", -1.0)));
    }
}
