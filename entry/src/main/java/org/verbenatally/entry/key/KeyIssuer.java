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

/** Issues idempotency keys of this run of this instance. An unused key takes no memory. */
public final class KeyIssuer {
    private static final int SECRET_BYTES = 32;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final InstanceId self;
    private final Incarnation run;
    private final LongSupplier nanos;
    private final long startNanos;
    private final byte[] secretBytes = new byte[SECRET_BYTES];
    private final SecretKeySpec secret;
    private final AtomicLong serial = new AtomicLong();
    private volatile boolean stopped;

    /** Creates an issuer with a new secret. */
    public KeyIssuer(InstanceId self, Incarnation run, LongSupplier nanos) {
        this.self = Objects.requireNonNull(self, "self");
        this.run = Objects.requireNonNull(run, "run");
        this.nanos = Objects.requireNonNull(nanos, "nanos");
        this.startNanos = nanos.getAsLong();
        new SecureRandom().nextBytes(secretBytes);
        this.secret = Signature.secret(secretBytes);
    }

    /** Returns a new key, or empty after {@link #stop}. */
    public Optional<String> issue(OrganisationId organisation, KindName kind) {
        if (stopped) {
            return Optional.empty();
        }
        return Optional.of(new IdempotencyKey(
                        self, run, serial.incrementAndGet(), uptimeMs(), IdempotencyKey.hash(organisation), kind)
                .write(secret));
    }

    /** Issues no more keys. */
    public void stop() {
        stopped = true;
    }

    /** Tells whether a key was issued. */
    public boolean hasIssued() {
        return serial.get() > 0;
    }

    long uptimeMs() {
        return (nanos.getAsLong() - startNanos) / NANOS_PER_MILLI;
    }

    InstanceId self() {
        return self;
    }

    Incarnation run() {
        return run;
    }

    SecretKeySpec secret() {
        return secret;
    }

    byte[] secretBytes() {
        return secretBytes.clone();
    }
}
