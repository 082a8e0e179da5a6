package org.verbenatally.faults;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import com.fasterxml.jackson.databind.JsonNode;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.verbenatally.config.Kind;
import org.verbenatally.core.KindName;
import org.verbenatally.core.Outcome;
import org.verbenatally.history.HistoryRecord.Response;
import org.verbenatally.history.HistoryRecord.TokenReceived;

/** One run of a fault case: its cluster, its callers, and the expectations of the case beyond the invariants. */
final class Trial {
    /** Longest wait for a condition. It is long because the machine may be busy. */
    static final Duration CONDITION_TIMEOUT = Duration.ofSeconds(45);

    private static final int INITIAL_REQUESTS = 24;
    private static final long SEND_INTERVAL_NANOS = 200_000_000;
    private static final int CALLER_TIMEOUT_MS = 30_000;
    private static final Executor CALLER_EXECUTOR = task -> Thread.ofVirtual().start(task);

    private final Cluster cluster;
    private final Caller caller;
    private final UniformRandomProvider random;
    private final Map<String, Object> figures = new LinkedHashMap<>();
    private final List<String> failures = new ArrayList<>();
    private final AtomicInteger workCount = new AtomicInteger();
    private final AtomicInteger streamCount = new AtomicInteger();
    private final long seed;

    Trial(Cluster cluster, long seed) {
        this.cluster = cluster;
        this.seed = seed;
        caller = new Caller(cluster, CALLER_TIMEOUT_MS);
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    }

    Cluster cluster() {
        return cluster;
    }

    Caller caller() {
        return caller;
    }

    UniformRandomProvider random() {
        return random;
    }

    /** Returns a new workload, which is not started yet. */
    Workload workload() {
        return new Workload(cluster, seed, CALLER_TIMEOUT_MS);
    }

    /** Records the description as a failure, which makes the case broken, if the expectation is not met. */
    synchronized void expect(boolean met, String description) {
        if (!met) {
            failures.add(description);
        }
    }

    /** Adds a figure to the line that is printed for the case. */
    synchronized void recordFigure(String name, Object value) {
        figures.put(name, value);
    }

    List<String> failures() {
        return failures;
    }

    Map<String, Object> figures() {
        return figures;
    }

    private WorkItem newWork(String kindName, int tokens, String marker) {
        Kind kind = cluster.deployment().kinds().get(new KindName(kindName));
        String organisation = cluster.deployment().organisations().keySet().stream()
                .map(Object::toString)
                .sorted()
                .toList()
                .get(workCount.get() % cluster.deployment().organisations().size());
        return new WorkItem(
                kindName + "-" + workCount.incrementAndGet() + "-" + Long.toHexString(random.nextLong()),
                kind,
                organisation,
                null,
                tokens,
                marker);
    }

    /** Returns a new work item with a streamed response. A token takes about 17 ms. */
    WorkItem streamedWork(int tokens) {
        return streamedWork(tokens, "");
    }

    WorkItem streamedWork(int tokens, String marker) {
        return newWork(cluster.deployment().name().equals("abay") ? "guide" : "speech-draft", tokens, marker);
    }

    /** Returns a new repeatable work item whose response is sent only when it is complete; aarhus only. */
    WorkItem bufferedWork(int tokens) {
        return newWork("briefing-summary", tokens, "");
    }

    /** Returns a new non-repeatable work item with an idempotency key that the given entry has issued. */
    WorkItem keyedWork(int issuer) {
        String kindName = cluster.deployment().name().equals("abay") ? "order-booking" : "approval-signoff";
        return caller.withKey(newWork(kindName, 0, ""), issuer);
    }

    /** Returns a new idempotent work item for a plain service; abay only. */
    WorkItem idempotentWork() {
        return newWork("quote-check", 0, "");
    }

    /** Sends a request to an entry without waiting for the response. */
    CompletableFuture<Response> send(WorkItem work, int entry) {
        if (work.isStreamed()) {
            streamCount.incrementAndGet();
        }
        return CompletableFuture.supplyAsync(() -> caller.send(work, entry), CALLER_EXECUTOR);
    }

    /** Sends requests with streamed responses to one entry without waiting for the responses. */
    List<CompletableFuture<Response>> sendStreams(int count, int tokens, int entry) {
        return IntStream.range(0, count)
                .mapToObj(i -> send(streamedWork(tokens), entry))
                .toList();
    }

    /**
     * Waits for a response.
     *
     * @throws IllegalStateException if the request does not end within twice the timeout of the caller
     */
    Response await(CompletableFuture<Response> response) {
        try {
            return response.get(CALLER_TIMEOUT_MS * 2, TimeUnit.MILLISECONDS);
        } catch (Exception e) {
            throw new IllegalStateException("the request of a caller did not end: " + e, e);
        }
    }

    List<Response> await(Collection<CompletableFuture<Response>> responses) {
        return responses.stream().map(this::await).toList();
    }

    /** Waits for all responses and expects each of them to be complete. */
    void expectAllDone(Collection<CompletableFuture<Response>> responses, String description) {
        List<Response> completed = await(responses);
        long done = completed.stream()
                .filter(response -> response.outcome() == Outcome.DONE)
                .count();
        expect(
                done == completed.size(),
                "%s: %d of %d done, others: %s"
                        .formatted(
                                description,
                                done,
                                completed.size(),
                                completed.stream()
                                        .filter(response -> response.outcome() != Outcome.DONE)
                                        .map(response -> response.request() + "=" + response.outcome() + "/"
                                                + response.status() + "/" + response.type())
                                        .toList()));
    }

    /** Expects a response to have the given outcome. */
    void expectOutcome(Response response, Outcome outcome, String description) {
        expect(
                response.outcome() == outcome,
                "%s: expected %s, was %s status %d %s"
                        .formatted(description, outcome, response.outcome(), response.status(), response.type()));
    }

    /** Expects that every response in the history has a known outcome. */
    void expectAllOutcomesKnown() {
        List<Response> unknown = cluster.history().recordsOfType(Response.class).stream()
                .filter(response -> response.outcome() == null || response.outcome() == Outcome.UNKNOWN)
                .toList();
        expect(
                unknown.isEmpty(),
                unknown.size() + " requests without a known outcome, first: "
                        + unknown.stream().findFirst());
    }

    /**
     * Waits for a condition.
     *
     * @throws IllegalStateException if the condition is not met within {@link #CONDITION_TIMEOUT}
     */
    void await(String description, java.util.function.BooleanSupplier condition) {
        Cluster.await(description, CONDITION_TIMEOUT, condition);
    }

    /** Waits until callers have received at least this many tokens of every stream that this trial has requested. */
    void awaitTokensOfEachStream(int tokens) {
        int expected = streamCount.get();
        await(
                tokens + " tokens of " + expected + " streams",
                () -> cluster.history().recordsOfType(TokenReceived.class).stream()
                                .collect(Collectors.groupingBy(TokenReceived::request, Collectors.counting()))
                                .values()
                                .stream()
                                .filter(count -> count >= tokens)
                                .count()
                        >= expected);
    }

    /**
     * Sends work items to all entries in turn: 24 at first, then one more every 200 ms until the target has started
     * one. This can take several requests because the entries choose the target.
     */
    List<CompletableFuture<Response>> sendUntilStarted(String target, Supplier<WorkItem> supplier) {
        List<CompletableFuture<Response>> responses = new ArrayList<>();
        for (int i = 0; i < INITIAL_REQUESTS; i++) {
            responses.add(send(supplier.get(), i % 3));
        }
        long[] nextSendNanos = {System.nanoTime() + SEND_INTERVAL_NANOS};
        await("work on " + target, () -> {
            if (!workStartedOn(target).isEmpty()) {
                return true;
            }
            if (System.nanoTime() - nextSendNanos[0] > 0) {
                nextSendNanos[0] = System.nanoTime() + SEND_INTERVAL_NANOS;
                responses.add(send(supplier.get(), responses.size() % 3));
            }
            return false;
        });
        return responses;
    }

    /** Returns the ids of the work items that a target has started. */
    Set<String> workStartedOn(String target) {
        return events(target, "start").stream()
                .map(event -> event.path("work").asText())
                .collect(Collectors.toSet());
    }

    /** Returns how often the plain services and engines have started a work item, in total. */
    long startCount(WorkItem work) {
        return cluster.deployment().targets().keySet().stream()
                .flatMap(id -> events(id.toString(), "start").stream())
                .filter(event -> work.id().equals(event.path("work").asText()))
                .count();
    }

    /** Returns the events of one type in a target's history. */
    List<JsonNode> events(String target, String type) {
        return cluster.standins().events(target).stream()
                .filter(event -> type.equals(event.path("event").asText()))
                .toList();
    }

    /** Changes options of all plain services. */
    void changeServiceOptions(String json) {
        cluster.deployment().targets().values().stream()
                .filter(target -> target.type() == org.verbenatally.config.TargetType.SERVICE)
                .forEach(target -> cluster.standins().changeOptions(target.id().toString(), json));
    }

    /** Changes options of all engines. */
    void changeEngineOptions(String json) {
        cluster.deployment().targets().values().stream()
                .filter(target -> target.type() == org.verbenatally.config.TargetType.ENGINE)
                .forEach(target -> cluster.standins().changeOptions(target.id().toString(), json));
    }
}
