package org.verbenatally.forward;

import java.time.Duration;
import java.util.function.Supplier;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import org.verbenatally.core.ServiceName;
import org.verbenatally.forward.admission.RankInService;

/**
 * Counters and latency histograms of a forwarding instance. Labels are bounded: outcome, decision, rank, retry safety
 * and service.
 */
public final class ForwardMetrics {
    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

    /** Records a request that has ended. */
    void recordRequest(RetrySafety retrySafety, String outcome, Duration elapsed) {
        Timer.builder("verbenatally.requests")
                .tag("repetition", retrySafety.name())
                .tag("outcome", outcome)
                .publishPercentileHistogram(false)
                .register(registry)
                .record(elapsed);
    }

    /** Counts a decision on the start of a generation of a rank. */
    void countAdmission(RankInService rank, String decision) {
        Counter.builder("verbenatally.admissions")
                .tag("rank", Integer.toString(rank.distinct()))
                .tag("decision", decision)
                .register(registry)
                .increment();
    }

    /** Counts a decision. */
    public void countDecision(String decision) {
        Counter.builder("verbenatally.decisions")
                .tag("decision", decision)
                .register(registry)
                .increment();
    }

    /** Registers a gauge whose value is read at each scrape. */
    public void registerGauge(String name, Supplier<Number> value) {
        Gauge.builder(name, value).register(registry);
    }

    /** Registers a gauge of one service whose value is read at each scrape. */
    public void registerGauge(String name, ServiceName service, Supplier<Number> value) {
        Gauge.builder(name, value).tag("service", service.value()).register(registry);
    }

    /** Returns all metrics in the Prometheus text format. */
    public String scrape() {
        return registry.scrape();
    }
}
