package org.verbenatally.config;

import java.util.Arrays;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Holds the configuration in force in a process. The process owns one holder and passes it to each component.
 *
 * @param <D> kind of deployment
 */
public final class ConfigHolder<D extends VersionedDeployment> {
    private final AtomicReference<ConfigDocumentInForce<D>> current = new AtomicReference<>();

    /**
     * A deployment and the bytes from which it was read.
     *
     * @param <D> kind of deployment
     * @param deployment deployment that passed all checks
     * @param digest SHA-256 of the bytes, 32 bytes
     * @param body the document as published
     */
    public record ConfigDocumentInForce<D extends VersionedDeployment>(D deployment, byte[] digest, byte[] body) {}

    /** Returns the deployment in force, or empty if no document has been accepted yet. */
    public Optional<D> deployment() {
        return document().map(ConfigDocumentInForce::deployment);
    }

    /** Returns the document in force, or empty if none has been accepted yet. */
    public Optional<ConfigDocumentInForce<D>> document() {
        return Optional.ofNullable(current.get());
    }

    /**
     * Puts a document in force if it has a higher version than the current one or, at equal versions, a higher digest.
     * Returns whether it did.
     */
    public boolean offer(ConfigDocumentInForce<D> offered) {
        ConfigDocumentInForce<D> previous = current.getAndUpdate(old -> isHigher(offered, old) ? offered : old);
        return isHigher(offered, previous);
    }

    private static boolean isHigher(ConfigDocumentInForce<?> offered, ConfigDocumentInForce<?> old) {
        if (old == null) {
            return true;
        }
        int order = offered.deployment().version().compareTo(old.deployment().version());
        return order != 0 ? order > 0 : Arrays.compareUnsigned(offered.digest(), old.digest()) > 0;
    }
}
