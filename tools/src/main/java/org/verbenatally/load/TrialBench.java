package org.verbenatally.load;

import io.vertx.core.json.JsonObject;
import org.verbenatally.standin.EngineOptions;

/** Compares policies with {@link PolicyTrial}: in memory, in virtual time, in parallel. */
final class TrialBench {
    private static final int ENGINES = 8;

    private final BenchPlan plan;
    private final BenchTable table = new BenchTable();

    TrialBench(BenchPlan plan) {
        this.plan = plan;
    }

    void run() {
        for (double load : plan.loads()) {
            for (double lag : plan.lags()) {
                plan.policies().parallelStream().forEach(policy -> run(policy, load, (long) lag));
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

    private void run(String policy, double load, long lag) {
        PolicyTrial.Setting setting = new PolicyTrial.Setting(
                policy, plan.entries(), ENGINES, load, lag, plan.seconds(), plan.seed(), plan.deployment());
        TrialMetrics metrics = new PolicyTrial(setting, EngineOptions.defaults("engine")).run();
        table.add(new BenchTable.Row(
                policy,
                load,
                lag,
                metrics.stallSeconds(),
                metrics.preemptions(),
                metrics.gapMs(99),
                metrics.goodput(),
                metrics.refused(),
                metrics.urgentMet(),
                metrics.urgentFirstMs(95)));
    }
}
