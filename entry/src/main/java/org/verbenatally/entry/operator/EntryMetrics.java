package org.verbenatally.entry.operator;

import java.time.Duration;
import java.util.function.Supplier;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import org.verbenatally.core.KindName;
import org.verbenatally.core.Outcome;
import org.verbenatally.core.Step;

/** The metrics of an entry process. Labels are kinds (at most 64), outcomes and steps, never callers or requests. */
public final class EntryMetrics {
    private static final Duration[] FIRST_TOKEN_BUCKETS = buckets(60, 120, 240, 480, 960, 1_920, 3_840, 7_680, 30_000);
    private static final Duration[] TOKEN_GAP_BUCKETS = buckets(13, 27, 54, 108, 216, 432, 1_000, 2_000, 10_000);

    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final ErrorBudget errorBudget = new ErrorBudget(System::nanoTime);

    /** Returns histogram bucket bounds given in milliseconds. */
    private static Duration[] buckets(long... millis) {
        Duration[] result = new Duration[millis.length];
        for (int i = 0; i < millis.length; i++) {
            result[i] = Duration.ofMillis(millis[i]);
        }
        return result;
    }

    /** Counts a completed request by its kind and outcome. */
    public void countOutcome(KindName kind, Outcome outcome) {
        registry.counter("verbenatally.requests", "kind", kind.value(), "outcome", outcome.text())
                .increment();
    }

    /** Counts a refusal or failure by the step at which it occurred. */
    public void countFailure(Step step) {
        registry.counter("verbenatally.failures", "step", step.text()).increment();
    }

    /** Returns the error budget of the service levels. */
    public ErrorBudget errorBudget() {
        return errorBudget;
    }

    /** Counts an attempt after the first. */
    public void countRetry(KindName kind) {
        registry.counter("verbenatally.retries", "kind", kind.value()).increment();
    }

    /**
     * Counts how often a stream was resumed on a new connection to its engine.
     *
     * @param resumes number of times
     */
    public void countResumes(KindName kind, int resumes) {
        registry.counter("verbenatally.resumes", "kind", kind.value()).increment(resumes);
    }

    /** Counts the preemptions that an engine reported for one generation. */
    public void countPreemptions(KindName kind, long preemptions) {
        registry.counter("verbenatally.preemptions", "kind", kind.value()).increment(preemptions);
    }

    /** Returns the meters of token delivery for one kind. A stream keeps them to avoid a lookup for each token. */
    public TokenMeters tokenMeters(KindName kind) {
        return new TokenMeters(
                timer("verbenatally.first.token", kind, FIRST_TOKEN_BUCKETS),
                timer("verbenatally.token.gap", kind, TOKEN_GAP_BUCKETS),
                registry.counter("verbenatally.stall.seconds", "kind", kind.value()));
    }

    private Timer timer(String name, KindName kind, Duration... buckets) {
        return Timer.builder(name)
                .tag("kind", kind.value())
                .serviceLevelObjectives(buckets)
                .register(registry);
    }

    /**
     * Meters of token delivery for one kind.
     *
     * @param firstToken time from the request to the first token
     * @param gap time between two consecutive tokens
     * @param stallSeconds total time by which tokens exceeded their latency targets, in seconds
     */
    public record TokenMeters(Timer firstToken, Timer gap, Counter stallSeconds) {}

    /** Registers a gauge whose value is read on each scrape. */
    public void registerGauge(String name, Supplier<Number> value) {
        Gauge.builder(name, value).register(registry);
    }

    /** Returns all metrics in the Prometheus text format. */
    public String scrape() {
        return registry.scrape();
    }
}
