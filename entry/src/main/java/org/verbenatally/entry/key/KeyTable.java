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
 * The used keys of one incarnation of an instance, with their final results. A key is recorded before its call is sent,
 * and at most one claim of a key is ever granted. The age of a key is measured by the uptime of the incarnation alone.
 * Safe for use by several threads.
 */
final class KeyTable {
    /** Age in milliseconds beyond which a key is expired: a call with it is never run. */
    static final long RETENTION_MS = 30 * 60_000L;
    /** Number of used keys from which no further keys are issued. */
    static final int MAX_KEYS_FOR_ISSUING = 100_000;
    /** Number of used keys from which no further key is recorded; leaves capacity for keys issued but not yet used. */
    static final int MAX_USED_KEYS = 2 * MAX_KEYS_FOR_ISSUING;

    /** Maximum size in bytes of all stored response bodies; beyond it only the outcomes of further calls are stored. */
    private static final long MAX_TOTAL_BODY_BYTES = 8L << 20;

    /** Maximum size in bytes of a stored response body. */
    private static final int MAX_STORED_BODY_BYTES = 65_536;

    private final SecretKeySpec secret;
    private final byte[] secretBytes;
    private final LongSupplier uptimeMs;
    private final Map<String, KeyRecord> records = new ConcurrentHashMap<>();
    private final AtomicLong bodyBytes = new AtomicLong();

    /**
     * One used key.
     *
     * @param issuedAtMs uptime of the incarnation when it issued the key, in milliseconds
     * @param bodyHash hash of the call's body; 0 if unknown
     * @param result completes with the final result of the call
     */
    private record KeyRecord(long issuedAtMs, long bodyHash, CompletableFuture<CallResult> result) {
        boolean hasOtherBody(long hash) {
            return bodyHash != 0 && bodyHash != hash;
        }
    }

    /** The decision about a call with a key. */
    sealed interface Claim {}

    /** The call must be run now, and its result be passed to {@link KeyTable#finish}. */
    record Granted() implements Claim {}

    /** The key was claimed before; the future holds the result of that call, or will once it completes. */
    record Duplicate(CompletableFuture<CallResult> result) implements Claim {}

    /** It is unknown whether a call with the key has run, and this one must not be run. */
    record Unknown(String reason) implements Claim {}

    KeyTable(byte[] secret, LongSupplier uptimeMs) {
        this.secretBytes = secret.clone();
        this.secret = TruncatedHmac.secret(secret);
        this.uptimeMs = Objects.requireNonNull(uptimeMs, "uptimeMs");
    }

    boolean hasValidSignature(String key) {
        return IdempotencyKey.hasValidSignature(key, secret);
    }

    /** Claims a key whose signature was verified. Of all claims of a key, at most one is granted. */
    Claim claim(String key, IdempotencyKey parsed, long bodyHash) {
        KeyRecord existing = records.get(key);
        if (existing != null) {
            return duplicate(existing, bodyHash);
        }
        if (isExpired(parsed)) {
            return expired();
        }
        if (records.size() >= MAX_USED_KEYS) {
            return new Unknown("too many keys are in use");
        }
        KeyRecord keyRecord = new KeyRecord(parsed.issuedAtMs(), bodyHash, new CompletableFuture<>());
        KeyRecord concurrent = records.putIfAbsent(key, keyRecord);
        if (concurrent != null) {
            return duplicate(concurrent, bodyHash);
        }
        if (isExpired(parsed)) {
            // Between the first check and the insertion, another claim may have run, expired and been evicted.
            keyRecord.result().complete(CallResult.failed(Outcome.UNKNOWN, Step.ADMIT, "", "the key has expired"));
            return expired();
        }
        return new Granted();
    }

    private static Claim duplicate(KeyRecord keyRecord, long bodyHash) {
        return keyRecord.hasOtherBody(bodyHash)
                ? new Unknown("the key was used for a call with another body")
                : new Duplicate(keyRecord.result());
    }

    private boolean isExpired(IdempotencyKey parsed) {
        return uptimeMs.getAsLong() - parsed.issuedAtMs() > RETENTION_MS;
    }

    /** The record of an expired key may have been evicted after its call ran, so the outcome is unknown. */
    private static Unknown expired() {
        return new Unknown("the key is older than " + RETENTION_MS / 60_000 + " minutes");
    }

    /** Stores the final result of a granted claim and completes the duplicates that wait for it. */
    void finish(String key, CallResult result) {
        KeyRecord keyRecord = records.get(key);
        if (keyRecord == null) {
            throw new IllegalStateException("a key that was not claimed cannot be finished");
        }
        if (!keyRecord.result().complete(result)) {
            return;
        }
        // Duplicates that were waiting have received the complete response; later ones get what is stored.
        if (!store(result)) {
            records.replace(
                    key,
                    new KeyRecord(
                            keyRecord.issuedAtMs(),
                            keyRecord.bodyHash(),
                            CompletableFuture.completedFuture(result.withoutBody())));
        }
    }

    private boolean store(CallResult result) {
        int size = result.body().length;
        if (size > MAX_STORED_BODY_BYTES || bodyBytes.get() + size > MAX_TOTAL_BODY_BYTES) {
            return size == 0;
        }
        bodyBytes.addAndGet(size);
        return true;
    }

    /** Removes expired keys whose calls have completed. */
    void evictExpired() {
        long uptime = uptimeMs.getAsLong();
        records.entrySet().removeIf(entry -> {
            KeyRecord keyRecord = entry.getValue();
            boolean evict = uptime - keyRecord.issuedAtMs() > RETENTION_MS
                    && keyRecord.result().isDone();
            if (evict) {
                bodyBytes.addAndGet(-keyRecord.result().join().body().length);
            }
            return evict;
        });
    }

    int size() {
        return records.size();
    }

    /** Returns the number of calls without a result. */
    int openCalls() {
        return (int) records.values().stream()
                .filter(keyRecord -> !keyRecord.result().isDone())
                .count();
    }

    byte[] secret() {
        return secretBytes.clone();
    }

    /**
     * A used key in a transfer.
     *
     * @param key the idempotency key
     * @param issuedAtMs uptime of the issuing incarnation when it issued the key, in milliseconds
     * @param result the final result, or one with the outcome {@code UNKNOWN}
     */
    record UsedKey(String key, long issuedAtMs, CallResult result) {}

    /** Returns the used keys; a call without a result yet has the outcome {@code UNKNOWN}. */
    List<UsedKey> usedKeys() {
        List<UsedKey> usedKeys = new ArrayList<>(records.size());
        records.forEach((key, keyRecord) -> usedKeys.add(new UsedKey(
                key,
                keyRecord.issuedAtMs(),
                keyRecord
                        .result()
                        .getNow(CallResult.failed(
                                Outcome.UNKNOWN, Step.SEND, "", "the entry that ran the call stopped")))));
        return usedKeys;
    }

    /** Adds a used key of a transferred table, unless it is present already. */
    void adopt(UsedKey used) {
        if (records.containsKey(used.key())) {
            return;
        }
        CallResult result = store(used.result()) ? used.result() : used.result().withoutBody();
        records.putIfAbsent(used.key(), new KeyRecord(used.issuedAtMs(), 0, CompletableFuture.completedFuture(result)));
    }
}
