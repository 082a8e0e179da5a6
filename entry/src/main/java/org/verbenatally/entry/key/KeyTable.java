package org.verbenatally.entry.key;

import javax.crypto.spec.SecretKeySpec;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

import org.verbenatally.core.Outcome;
import org.verbenatally.core.Step;

/**
 * The used keys of one run of one instance, with their final results. A key is recorded before its call is sent, and
 * at most one claim of a key is ever granted. Ages are judged by the uptime of the run alone. Safe for use by several
 * threads.
 */
final class KeyTable {
    /** Age from which on a key is never run. */
    static final long RETENTION_MS = 30 * 60_000L;
    /** Used keys from which on no further keys are issued. */
    static final int ISSUE_BOUND = 100_000;
    /** Used keys from which on none is recorded any more; unused keys that are still out need room. */
    static final int RECORD_BOUND = 2 * ISSUE_BOUND;

    /** Bytes of stored answers; above that, answers of further calls are not stored, only their outcomes. */
    private static final long BODY_BOUND = 8L << 20;

    private static final int LARGEST_STORED_BODY = 65_536;

    private final SecretKeySpec secret;
    private final byte[] secretBytes;
    private final LongSupplier uptimeMs;
    private final Map<String, Row> rows = new ConcurrentHashMap<>();
    private final AtomicLong bodyBytes = new AtomicLong();

    /**
     * One used key.
     *
     * @param stampMs uptime of the run when it issued the key
     * @param bodyHash hash of the call's body, 0 if not known
     * @param result the result, once there is one
     */
    private record Row(long stampMs, long bodyHash, CompletableFuture<CallResult> result) {
        boolean isOtherBody(long hash) {
            return bodyHash != 0 && bodyHash != hash;
        }
    }

    /** What a call with a key may do. */
    sealed interface Claim {}

    /** The call must be run now, and its result be given to {@link KeyTable#finish}. */
    record Granted() implements Claim {}

    /** The call was presented before; its result is or will be in the future. */
    record Copy(CompletableFuture<CallResult> result) implements Claim {}

    /** Nothing is known about the key and it must not be run. */
    record Unknown(String reason) implements Claim {}

    KeyTable(byte[] secret, LongSupplier uptimeMs) {
        this.secretBytes = secret.clone();
        this.secret = Signature.secret(secret);
        this.uptimeMs = Objects.requireNonNull(uptimeMs, "uptimeMs");
    }

    boolean isGenuine(String key) {
        return IdempotencyKey.isGenuine(key, secret);
    }

    /** Claims a genuine key. Of all claims of a key, at most one is granted. */
    Claim claim(String key, IdempotencyKey parsed, long bodyHash) {
        Row present = rows.get(key);
        if (present != null) {
            return copy(present, bodyHash);
        }
        if (isExpired(parsed)) {
            return expired();
        }
        if (rows.size() >= RECORD_BOUND) {
            return new Unknown("too many keys are in use");
        }
        Row row = new Row(parsed.stampMs(), bodyHash, new CompletableFuture<>());
        Row before = rows.putIfAbsent(key, row);
        if (before != null) {
            return copy(before, bodyHash);
        }
        if (isExpired(parsed)) {
            // Between the first check and the insertion, another claim may have run, expired and been trimmed.
            row.result().complete(CallResult.failed(Outcome.UNKNOWN, Step.ADMIT, "", "the key has expired"));
            return expired();
        }
        return new Granted();
    }

    private static Claim copy(Row row, long bodyHash) {
        return row.isOtherBody(bodyHash)
                ? new Unknown("the key was used for a call with another body")
                : new Copy(row.result());
    }

    private boolean isExpired(IdempotencyKey parsed) {
        return uptimeMs.getAsLong() - parsed.stampMs() > RETENTION_MS;
    }

    /** The row may have been dropped after a run, so nothing can be said about earlier copies. */
    private static Unknown expired() {
        return new Unknown("the key is older than " + RETENTION_MS / 60_000 + " minutes");
    }

    /** Stores the final result of a granted claim and answers the waiting copies. */
    void finish(String key, CallResult result) {
        Row row = rows.get(key);
        if (row == null) {
            throw new IllegalStateException("a key without a claim cannot be finished");
        }
        if (!row.result().complete(result)) {
            return;
        }
        // Copies that wait have the whole answer; later ones get what is stored.
        if (!store(result)) {
            rows.replace(
                    key,
                    new Row(row.stampMs(), row.bodyHash(), CompletableFuture.completedFuture(result.withoutBody())));
        }
    }

    private boolean store(CallResult result) {
        int size = result.body().length;
        if (size > LARGEST_STORED_BODY || bodyBytes.get() + size > BODY_BOUND) {
            return size == 0;
        }
        bodyBytes.addAndGet(size);
        return true;
    }

    /** Drops rows whose keys have expired and whose calls have ended. */
    void trim() {
        long uptime = uptimeMs.getAsLong();
        rows.entrySet().removeIf(entry -> {
            Row row = entry.getValue();
            boolean drop = uptime - row.stampMs() > RETENTION_MS && row.result().isDone();
            if (drop) {
                bodyBytes.addAndGet(-row.result().join().body().length);
            }
            return drop;
        });
    }

    int size() {
        return rows.size();
    }

    /** Returns the number of calls that have no result yet. */
    int open() {
        return (int)
                rows.values().stream().filter(row -> !row.result().isDone()).count();
    }

    byte[] secret() {
        return secretBytes.clone();
    }

    /** One used key. */
    record Used(String key, long stampMs, CallResult result) {}

    /** Returns the used keys; a call that is still open has the outcome {@code UNKNOWN}. */
    List<Used> used() {
        List<Used> used = new ArrayList<>(rows.size());
        rows.forEach((key, row) -> used.add(new Used(
                key,
                row.stampMs(),
                row.result()
                        .getNow(CallResult.failed(
                                Outcome.UNKNOWN, Step.SEND, "", "the entry that ran the call stopped")))));
        return used;
    }

    /** Takes a used key of a transferred table. */
    void adopt(Used used) {
        if (rows.containsKey(used.key())) {
            return;
        }
        CallResult result = store(used.result()) ? used.result() : used.result().withoutBody();
        rows.putIfAbsent(used.key(), new Row(used.stampMs(), 0, CompletableFuture.completedFuture(result)));
    }
}
