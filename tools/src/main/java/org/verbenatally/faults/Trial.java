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
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import com.fasterxml.jackson.databind.JsonNode;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.verbenatally.config.Kind;
import org.verbenatally.core.KindName;
import org.verbenatally.core.Outcome;
import org.verbenatally.history.HistoryRecord.Answer;
import org.verbenatally.history.HistoryRecord.TokenSeen;

/** One run of a fault case: its cluster, its callers, and what the case expects beyond the invariants. */
final class Trial {
    /** Longest wait for a condition; generous, because the machine may be busy. */
    static final Duration LIMIT = Duration.ofSeconds(45);

    private static final int PATIENCE_MS = 30_000;
    private static final Executor CALLERS = task -> Thread.ofVirtual().start(task);

    private final Cluster cluster;
    private final Caller caller;
    private final UniformRandomProvider random;
    private final Map<String, Object> figures = new LinkedHashMap<>();
    private final List<String> failures = new ArrayList<>();
    private final AtomicInteger works = new AtomicInteger();
    private final AtomicInteger streams = new AtomicInteger();
    private final long seed;

    Trial(Cluster cluster, long seed) {
        this.cluster = cluster;
        this.seed = seed;
        caller = new Caller(cluster, PATIENCE_MS);
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

    /** Returns a workload that has yet to be started. */
    Workload workload() {
        return new Workload(cluster, seed, PATIENCE_MS);
    }

    /** Records an expectation of the case; an unmet one makes the case broken. */
    synchronized void expect(boolean met, String what) {
        if (!met) {
            failures.add(what);
        }
    }

    /** Adds a figure to the line of the case. */
    synchronized void figure(String name, Object value) {
        figures.put(name, value);
    }

    List<String> failures() {
        return failures;
    }

    Map<String, Object> figures() {
        return figures;
    }

    private Work work(String kind, int tokens, String marker) {
        Kind found = cluster.deployment().kinds().get(new KindName(kind));
        String organisation = cluster.deployment().organisations().keySet().stream()
                .map(Object::toString)
                .sorted()
                .toList()
                .get(works.get() % cluster.deployment().organisations().size());
        return new Work(
                kind + "-" + works.incrementAndGet() + "-" + Long.toHexString(random.nextLong()),
                found,
                organisation,
                null,
                tokens,
                marker);
    }

    /** Returns new streamed work; a token takes some 17 ms. */
    Work guide(int tokens) {
        return guide(tokens, "");
    }

    Work guide(int tokens, String marker) {
        return work(cluster.deployment().name().equals("abay") ? "guide" : "speech-draft", tokens, marker);
    }

    /** Returns new repeatable work whose answer is held back until it is whole; aarhus only. */
    Work summary(int tokens) {
        return work("briefing-summary", tokens, "");
    }

    /** Returns new non-repeatable work with a key from an entry. */
    Work booking(int keyFrom) {
        String kind = cluster.deployment().name().equals("abay") ? "order-booking" : "approval-signoff";
        return caller.withKey(work(kind, 0, ""), keyFrom);
    }

    /** Returns new idempotent work for a plain service; abay only. */
    Work quote() {
        return work("quote-check", 0, "");
    }

    /** Sends a copy to an entry without waiting for its answer. */
    CompletableFuture<Answer> send(Work work, int entry) {
        if (work.streamed()) {
            streams.incrementAndGet();
        }
        return CompletableFuture.supplyAsync(() -> caller.send(work, entry), CALLERS);
    }

    /** Sends a number of guides to one entry. */
    List<CompletableFuture<Answer>> sendGuides(int count, int tokens, int entry) {
        return IntStream.range(0, count)
                .mapToObj(i -> send(guide(tokens), entry))
                .toList();
    }

    Answer await(CompletableFuture<Answer> answer) {
        try {
            return answer.get(PATIENCE_MS * 2, TimeUnit.MILLISECONDS);
        } catch (Exception e) {
            throw new IllegalStateException("a caller did not end: " + e, e);
        }
    }

    List<Answer> await(Collection<CompletableFuture<Answer>> answers) {
        return answers.stream().map(this::await).toList();
    }

    /** Waits for all answers and expects each to be whole. */
    void expectAllDone(Collection<CompletableFuture<Answer>> answers, String what) {
        List<Answer> ends = await(answers);
        long done = ends.stream().filter(end -> end.outcome() == Outcome.DONE).count();
        expect(
                done == ends.size(),
                "%s: %d of %d done, others %s"
                        .formatted(
                                what,
                                done,
                                ends.size(),
                                ends.stream()
                                        .filter(end -> end.outcome() != Outcome.DONE)
                                        .map(end -> end.request() + "=" + end.outcome() + "/" + end.status() + "/"
                                                + end.type())
                                        .toList()));
    }

    /** Expects an answer to have an outcome. */
    void expectOutcome(Answer answer, Outcome outcome, String what) {
        expect(
                answer.outcome() == outcome,
                "%s: expected %s, was %s status %d %s"
                        .formatted(what, outcome, answer.outcome(), answer.status(), answer.type()));
    }

    /** Expects that every request of this trial ended, and with an outcome that is known. */
    void expectNothingUnknown() {
        List<Answer> unclear = cluster.history().all(Answer.class).stream()
                .filter(answer -> answer.outcome() == null || answer.outcome() == Outcome.UNKNOWN)
                .toList();
        expect(
                unclear.isEmpty(),
                unclear.size() + " requests without a known outcome, first "
                        + unclear.stream().findFirst());
    }

    /** Waits for a condition. */
    void await(String what, java.util.function.BooleanSupplier condition) {
        Cluster.await(what, LIMIT, condition);
    }

    /** Waits until callers have received a number of tokens of every stream that this trial has sent so far. */
    void awaitTokensOfAll(int tokens) {
        int expected = streams.get();
        await(
                tokens + " tokens of " + expected + " streams",
                () -> cluster.history().all(TokenSeen.class).stream()
                                .collect(Collectors.groupingBy(TokenSeen::request, Collectors.counting()))
                                .values()
                                .stream()
                                .filter(count -> count >= tokens)
                                .count()
                        >= expected);
    }

    /** Returns the ids of the work that a target has started. */
    Set<String> startedOn(String target) {
        return events(target, "start").stream()
                .map(event -> event.path("work").asText())
                .collect(Collectors.toSet());
    }

    /** Returns how often any plain service or engine has started a piece of work. */
    long runs(Work work) {
        return cluster.deployment().targets().keySet().stream()
                .flatMap(id -> events(id.toString(), "start").stream())
                .filter(event -> work.id().equals(event.path("work").asText()))
                .count();
    }

    /** Returns the events of one type in a target's history. */
    List<JsonNode> events(String target, String type) {
        return cluster.targets().events(target).stream()
                .filter(event -> type.equals(event.path("event").asText()))
                .toList();
    }

    /** Changes an option of all plain services. */
    void changeServices(String json) {
        cluster.deployment().targets().values().stream()
                .filter(target -> target.type() == org.verbenatally.config.TargetType.SERVICE)
                .forEach(target -> cluster.targets().change(target.id().toString(), json));
    }

    /** Changes an option of all engines. */
    void changeEngines(String json) {
        cluster.deployment().targets().values().stream()
                .filter(target -> target.type() == org.verbenatally.config.TargetType.ENGINE)
                .forEach(target -> cluster.targets().change(target.id().toString(), json));
    }
}
