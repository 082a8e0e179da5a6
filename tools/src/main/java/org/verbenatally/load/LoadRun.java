package org.verbenatally.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.verbenatally.core.Outcome;
import org.verbenatally.history.HistoryRecord;

/**
 * Runs one open-loop experiment: requests are sent when they are due, whether or not earlier ones have ended, and
 * latencies are measured from the due time.
 */
public final class LoadRun {
    /** Protects the machine from overload if the system under test stops responding. */
    private static final int MAX_OPEN_REQUESTS = 20_000;

    private static final int MAX_LISTED_VIOLATIONS = 20;
    private static final long PROGRESS_PERIOD_NANOS = 5_000_000_000L;
    private static final long REPORT_PERIOD_NANOS = 1_000_000_000L;

    private record SentRequest(Arrival arrival, CompletableFuture<CallRecord> future) {}

    private final LoadOptions options;
    private final Consumer<HistoryRecord> history;
    private final List<SentRequest> sent = new ArrayList<>();
    private final Map<Outcome, AtomicLong> endedByOutcome = new ConcurrentHashMap<>();
    private final AtomicLong openRequests = new AtomicLong();
    private final AtomicLong tokens = new AtomicLong();
    private long nextProgressNanos;
    private long nextReportNanos;

    /** Creates a run that records no history. */
    public LoadRun(LoadOptions options) {
        this(options, record -> {});
    }

    /**
     * Creates a run.
     *
     * @param history receives a record of what the callers send and receive; called from several threads
     */
    public LoadRun(LoadOptions options, Consumer<HistoryRecord> history) {
        this.options = options;
        this.history = history;
        for (Outcome outcome : Outcome.values()) {
            endedByOutcome.put(outcome, new AtomicLong());
        }
    }

    /**
     * Runs the experiment. Takes at most {@code seconds + drainSeconds} and a few seconds more. May be called only
     * once.
     *
     * @throws IllegalStateException if more than 20,000 requests are open
     */
    public LoadResult run() {
        List<Arrival> plan = ArrivalPlan.of(options);
        try (EngineReports reports = new EngineReports(options.engineAddresses());
                CallerClient client = new CallerClient(CallerOptions.defaults(options.entryAddresses()), history)) {
            reports.read();
            long start = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(50);
            nextProgressNanos = start + PROGRESS_PERIOD_NANOS;
            nextReportNanos = start + REPORT_PERIOD_NANOS;
            for (Arrival arrival : plan) {
                waitUntil(start + arrival.atNanos(), start, reports);
                send(client, arrival);
            }
            long end = start + TimeUnit.SECONDS.toNanos((long) options.seconds() + options.drainSeconds());
            while (openRequests.get() > 0 && System.nanoTime() - end < 0) {
                waitUntil(Math.min(end, System.nanoTime() + 20_000_000), start, reports);
            }
            boolean[] finished = new boolean[sent.size()];
            for (int i = 0; i < finished.length; i++) {
                finished[i] = sent.get(i).future().isDone();
            }
            client.close();
            reports.read();
            return result(start, finished, reports);
        }
    }

    private void send(CallerClient client, Arrival arrival) {
        if (openRequests.incrementAndGet() > MAX_OPEN_REQUESTS) {
            throw new IllegalStateException("more than " + MAX_OPEN_REQUESTS + " requests are open");
        }
        CompletableFuture<CallRecord> future = client.send(arrival.request());
        future.thenAccept(record -> {
            openRequests.decrementAndGet();
            endedByOutcome.get(record.outcome()).incrementAndGet();
            tokens.addAndGet(record.tokens());
        });
        sent.add(new SentRequest(arrival, future));
    }

    private void waitUntil(long dueNanos, long start, EngineReports reports) {
        while (true) {
            long now = System.nanoTime();
            if (now - nextReportNanos >= 0 && dueNanos - now > 5_000_000) {
                nextReportNanos = now + REPORT_PERIOD_NANOS;
                Thread.ofVirtual().start(reports::read);
            }
            if (options.progress() && now - nextProgressNanos >= 0) {
                nextProgressNanos += PROGRESS_PERIOD_NANOS;
                printProgress((now - start) / 1e9);
            }
            if (now - dueNanos >= 0) {
                return;
            }
            LockSupport.parkNanos(Math.min(dueNanos - now, 20_000_000));
        }
    }

    private void printProgress(double second) {
        System.err.printf(
                "load: %.0f/%d s, sent %d, open %d, done %d, not-run %d, unknown %d, tokens of ended requests %d%n",
                second,
                options.seconds(),
                sent.size(),
                openRequests.get(),
                endedByOutcome.get(Outcome.DONE).get(),
                endedByOutcome.get(Outcome.NOT_RUN).get(),
                endedByOutcome.get(Outcome.UNKNOWN).get(),
                tokens.get());
    }

    private LoadResult result(long start, boolean[] finished, EngineReports reports) {
        Measurements all = new Measurements();
        Map<String, Measurements> byKind = new TreeMap<>();
        Map<String, Measurements> byOrganisation = new TreeMap<>();
        List<RequestRow> rows = new ArrayList<>();
        for (int i = 0; i < finished.length; i++) {
            Arrival arrival = sent.get(i).arrival();
            CallRecord record = sent.get(i).future().join();
            RequestRow row = RequestRow.of(arrival, record, start, finished[i]);
            rows.add(row);
            if (arrival.atNanos() >= TimeUnit.SECONDS.toNanos(options.warmupSeconds())) {
                long intended = start + arrival.atNanos();
                long[] times = record.tokenNanos();
                all.add(row, times, intended);
                byKind.computeIfAbsent(row.kind(), k -> new Measurements()).add(row, times, intended);
                byOrganisation
                        .computeIfAbsent(row.organisation(), o -> new Measurements())
                        .add(row, times, intended);
            }
        }
        double seconds = options.seconds() - options.warmupSeconds();
        JsonObject engines = new JsonObject()
                .put("preemptions", reports.preemptions())
                .put("highestKvUsedTokens", reports.highestUsedTokens());
        JsonObject summary = new JsonObject()
                .put("options", optionsToJson())
                .put("all", all.toJson(seconds))
                .put("byKind", toJson(byKind, seconds))
                .put("byOrganisation", toJson(byOrganisation, seconds))
                .put("engines", engines)
                .put("violations", violations());
        return new LoadResult(summary, rows, start, all);
    }

    /** Returns the first contract violations, to help diagnose a run that has any. */
    private JsonArray violations() {
        JsonArray samples = new JsonArray();
        sent.stream()
                .map(request -> request.future().join())
                .flatMap(record -> record.violations().stream()
                        .map(violation -> record.request().work() + ": " + violation))
                .limit(MAX_LISTED_VIOLATIONS)
                .forEach(samples::add);
        return samples;
    }

    private static JsonObject toJson(Map<String, Measurements> groups, double seconds) {
        JsonObject json = new JsonObject();
        groups.forEach((name, group) -> json.put(name, group.toJson(seconds)));
        return json;
    }

    private JsonObject optionsToJson() {
        return new JsonObject()
                .put("deployment", options.workload().deployment())
                .put("lengthScale", options.workload().lengthScale())
                .put("rate", options.rate())
                .put("seconds", options.seconds())
                .put("warmupSeconds", options.warmupSeconds())
                .put("drainSeconds", options.drainSeconds())
                .put("seed", options.seed())
                .put("burstFactor", options.burstFactor())
                .put("burstSeconds", options.burstSeconds())
                .put("burstEverySeconds", options.burstEverySeconds())
                .put("burstOrganisation", options.burstOrganisation())
                .put("entries", options.entryAddresses().size())
                .put("engines", options.engineAddresses().size());
    }
}
