package org.verbenatally.entry.key;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.verbenatally.core.Incarnation;
import org.verbenatally.core.InstanceId;
import org.verbenatally.core.Outcome;
import org.verbenatally.time.ManualTimer;

import static org.assertj.core.api.Assertions.assertThat;

class KeyTableTest {
    private final ManualTimer timer = new ManualTimer();
    private final KeyIssuer issuer = new KeyIssuer(new InstanceId("a"), new Incarnation(1), timer::nanos);
    private final KeyTable table = new KeyTable(issuer.secretBytes(), issuer::uptimeMs);

    private String issue() {
        return issuer.issue(KeyFleet.ORGANISATION, KeyFleet.KIND).orElseThrow();
    }

    private KeyTable.Claim claim(String key) {
        return table.claim(key, IdempotencyKey.parse(key).orElseThrow(), 1);
    }

    /** Guards against two runs of one key when calls with it arrive at the same time. */
    @Property(tries = 60, seed = "20261204")
    void atMostOneOfSeveralConcurrentClaimsIsGranted(
            @ForAll @IntRange(min = 2, max = 8) int threads, @ForAll @IntRange(min = 1, max = 6) int keys)
            throws Exception {
        List<String> issued = IntStream.range(0, keys).mapToObj(i -> issue()).toList();
        KeyFleet fleet = new KeyFleet();
        CyclicBarrier start = new CyclicBarrier(threads);
        try (ExecutorService pool = Executors.newFixedThreadPool(threads)) {
            List<Future<?>> tasks = IntStream.range(0, threads)
                    .<Future<?>>mapToObj(thread -> pool.submit(() -> {
                        start.await();
                        for (int i = 0; i < keys * 3; i++) {
                            claimAndFinish(issued.get((i * 7 + thread) % keys), fleet);
                        }
                        return null;
                    }))
                    .toList();
            for (Future<?> task : tasks) {
                task.get();
            }
        }
        issued.forEach(key -> assertThat(fleet.runsOf(key)).isEqualTo(1));
    }

    private void claimAndFinish(String key, KeyFleet fleet) {
        switch (claim(key)) {
            case KeyTable.Granted granted -> {
                int run = fleet.count(key);
                table.finish(key, CallResult.completed(200, new byte[] {(byte) run}, "s"));
            }
            case KeyTable.Duplicate duplicate ->
                assertThat(duplicate
                                .result()
                                .orTimeout(20, TimeUnit.SECONDS)
                                .join()
                                .outcome())
                        .isEqualTo(Outcome.DONE);
            case KeyTable.Unknown unknown -> throw new AssertionError(unknown.reason());
        }
    }

    /** Guards against a duplicate that waits for the running call and never receives its result. */
    @Test
    void duplicateWaitsForTheResultOfTheRunningCall() {
        String key = issue();
        assertThat(claim(key)).isInstanceOf(KeyTable.Granted.class);
        CompletableFuture<CallResult> duplicate = ((KeyTable.Duplicate) claim(key)).result();
        assertThat(duplicate).isNotDone();

        table.finish(key, CallResult.completed(201, new byte[] {1}, "s"));

        assertThat(duplicate.join().status()).isEqualTo(201);
    }

    /** Guards against unbounded memory use: of a response that is too large to store, only the outcome is kept. */
    @Test
    void largeResponseIsNotStored() {
        String key = issue();
        claim(key);
        table.finish(key, CallResult.completed(200, new byte[100_000], "s"));

        CallResult later = ((KeyTable.Duplicate) claim(key)).result().join();

        assertThat(later.outcome()).isEqualTo(Outcome.DONE);
        assertThat(later.body()).isEmpty();
    }

    /** Guards against eviction of the record of a running call, which would allow a second run. */
    @Test
    void evictionKeepsRunningCalls() {
        String running = issue();
        String ended = issue();
        claim(running);
        claim(ended);
        table.finish(ended, CallResult.completed(200, new byte[0], "s"));
        timer.advance(Duration.ofMillis(KeyTable.RETENTION_MS + 1));

        table.evictExpired();

        assertThat(table.size()).isEqualTo(1);
        assertThat(claim(running)).isInstanceOf(KeyTable.Duplicate.class);
    }

    /** Guards against two records, and therefore two runs, for two encodings of one key. */
    @Test
    void onlyTheCanonicalEncodingOfAKeyIsAccepted() {
        String key = issue();
        for (int i = 0; i < 64; i++) {
            String variant = key.substring(0, key.length() - 1)
                    + "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_".charAt(i);
            boolean isCanonical = variant.equals(key);
            boolean accepted = IdempotencyKey.parse(variant).isPresent() && table.hasValidSignature(variant);
            assertThat(accepted).isEqualTo(isCanonical);
        }
        assertThat(IdempotencyKey.parse(key + "=")).isEmpty();
        assertThat(IdempotencyKey.parse(key + "7")).isEmpty();
    }
}
