package org.verbenatally.config;

import java.util.Arrays;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Holds the configuration in force in one process. The process owns one and passes it to each part.
 *
 * @param <D> the kind of deployment
 */
public final class ConfigHolder<D extends VersionedDeployment> {
    private final AtomicReference<ConfigDocumentInForce<D>> current = new AtomicReference<>();

    /**
     * A deployment with the bytes it was read from.
     *
     * @param <D> the kind of deployment
     * @param deployment the checked deployment
     * @param digest SHA-256 of the bytes, 32 bytes
     * @param body the document as published
     */
    public record ConfigDocumentInForce<D extends VersionedDeployment>(D deployment, byte[] digest, byte[] body) {}

    /** Returns the deployment in force, or empty before the first document was accepted. */
    public Optional<D> deployment() {
        return document().map(ConfigDocumentInForce::deployment);
    }

    /** Returns the document in force, or empty before the first was accepted. */
    public Optional<ConfigDocumentInForce<D>> document() {
        return Optional.ofNullable(current.get());
    }

    /** Puts a document in force if it is higher than the present one, and tells whether it did. */
    public boolean offer(ConfigDocumentInForce<D> offered) {
        ConfigDocumentInForce<D> before = current.getAndUpdate(old -> isHigher(offered, old) ? offered : old);
        return isHigher(offered, before);
    }

    private static boolean isHigher(ConfigDocumentInForce<?> offered, ConfigDocumentInForce<?> old) {
        if (old == null) {
            return true;
        }
        int order = offered.deployment().version().compareTo(old.deployment().version());
        return order != 0 ? order > 0 : Arrays.compareUnsigned(offered.digest(), old.digest()) > 0;
    }
}
