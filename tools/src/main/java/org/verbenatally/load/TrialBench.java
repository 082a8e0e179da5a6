package org.verbenatally.load;

import io.vertx.core.json.JsonObject;
import org.verbenatally.standin.EngineOptions;

/** Compares policies by running {@link PolicyTrial} in memory and in virtual time, with the policies in parallel. */
final class TrialBench {
    private static final int ENGINES = 8;

    private final BenchPlan plan;
    private final BenchTable table = new BenchTable();

    TrialBench(BenchPlan plan) {
        this.plan = plan;
    }

    void run() {
        for (double load : plan.loads()) {
            for (double lagMs : plan.lags()) {
                plan.policies().parallelStream().forEach(policy -> run(policy, load, (long) lagMs));
            }
        }
        table.print(new JsonObject()
                .put("kind", "trial in memory")
                .put("deployment", plan.deployment())
                .put("entries", plan.entries())
                .put("engines", ENGINES)
                .put("seconds", plan.seconds())
                .put("seed", plan.seed()));
    }

    private void run(String policy, double load, long lagMs) {
        PolicyTrial.Settings settings = new PolicyTrial.Settings(
                policy, plan.entries(), ENGINES, load, lagMs, plan.seconds(), plan.seed(), plan.deployment());
        TrialMetrics metrics = new PolicyTrial(settings, EngineOptions.defaults("engine")).run();
        table.add(new BenchTable.Row(
                policy,
                load,
                lagMs,
                metrics.stallSeconds(),
                metrics.preemptions(),
                metrics.tokenGapMs(99),
                metrics.goodput(),
                metrics.rejected(),
                metrics.urgentMet(),
                metrics.urgentFirstTokenMs(95)));
    }
}
