package org.verbenatally.config;

import java.util.Arrays;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

/** Holds the configuration in force in one process. The process owns one and passes it to each part. */
public final class ConfigHolder {
    private final AtomicReference<ConfigDocumentInForce> current = new AtomicReference<>();

    /**
     * A deployment with the bytes it was read from.
     *
     * @param deployment the checked deployment
     * @param digest SHA-256 of the bytes, 32 bytes
     * @param body the document as published
     */
    public record ConfigDocumentInForce(Deployment deployment, byte[] digest, byte[] body) {}

    /** Returns the deployment in force, or empty before the first document was accepted. */
    public Optional<Deployment> deployment() {
        return document().map(ConfigDocumentInForce::deployment);
    }

    /** Returns the document in force, or empty before the first was accepted. */
    public Optional<ConfigDocumentInForce> document() {
        return Optional.ofNullable(current.get());
    }

    /** Puts a document in force if it is higher than the present one, and tells whether it did. */
    public boolean offer(ConfigDocumentInForce offered) {
        ConfigDocumentInForce before = current.getAndUpdate(old -> isHigher(offered, old) ? offered : old);
        return isHigher(offered, before);
    }

    private static boolean isHigher(ConfigDocumentInForce offered, ConfigDocumentInForce old) {
        if (old == null) {
            return true;
        }
        int order = offered.deployment().version().compareTo(old.deployment().version());
        return order != 0 ? order > 0 : Arrays.compareUnsigned(offered.digest(), old.digest()) > 0;
    }
}
