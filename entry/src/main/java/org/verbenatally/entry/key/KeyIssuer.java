package org.verbenatally.entry.key;

import javax.crypto.spec.SecretKeySpec;

import java.security.SecureRandom;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

import org.verbenatally.core.Incarnation;
import org.verbenatally.core.InstanceId;
import org.verbenatally.core.KindName;
import org.verbenatally.core.OrganisationId;

/** Issues the idempotency keys of this incarnation. A key uses no memory until it is used. */
public final class KeyIssuer {
    private static final int SECRET_BYTES = 32;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final InstanceId self;
    private final Incarnation incarnation;
    private final LongSupplier nanos;
    private final long startNanos;
    private final byte[] secretBytes = new byte[SECRET_BYTES];
    private final SecretKeySpec secret;
    private final AtomicLong serial = new AtomicLong();
    private volatile boolean stopped;

    /**
     * Creates an issuer with a new random secret.
     *
     * @param nanos monotonic clock, in nanoseconds
     */
    public KeyIssuer(InstanceId self, Incarnation incarnation, LongSupplier nanos) {
        this.self = Objects.requireNonNull(self, "self");
        this.incarnation = Objects.requireNonNull(incarnation, "incarnation");
        this.nanos = Objects.requireNonNull(nanos, "nanos");
        this.startNanos = nanos.getAsLong();
        new SecureRandom().nextBytes(secretBytes);
        this.secret = TruncatedHmac.secret(secretBytes);
    }

    /** Returns a new key, or empty after {@link #stop}. */
    public Optional<String> issue(OrganisationId organisation, KindName kind) {
        if (stopped) {
            return Optional.empty();
        }
        return Optional.of(new IdempotencyKey(
                        self,
                        incarnation,
                        serial.incrementAndGet(),
                        uptimeMs(),
                        IdempotencyKey.hash(organisation),
                        kind)
                .encode(secret));
    }

    /** Stops issuing keys. */
    public void stop() {
        stopped = true;
    }

    /** Returns whether any key has been issued. */
    public boolean hasIssued() {
        return serial.get() > 0;
    }

    /** Returns the time since this issuer was created, in milliseconds. */
    long uptimeMs() {
        return (nanos.getAsLong() - startNanos) / NANOS_PER_MILLI;
    }

    InstanceId self() {
        return self;
    }

    Incarnation incarnation() {
        return incarnation;
    }

    SecretKeySpec secret() {
        return secret;
    }

    byte[] secretBytes() {
        return secretBytes.clone();
    }
}
