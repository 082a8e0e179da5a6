package org.verbenatally.forward;

import java.util.Objects;
import java.util.Optional;

import org.verbenatally.core.ServiceName;

/**
 * A group of targets that serve the same requests.
 *
 * @param name its name
 * @param maxConnections maximum number of connections that one target accepts from all instances together
 * @param engine traits of its model engines; empty for a plain service
 */
public record ServiceSpec(ServiceName name, int maxConnections, Optional<EngineTraits> engine) {

    /**
     * Properties that all model engines of a service share.
     *
     * @param memoryTokens key-value memory, in tokens
     * @param supportsCopies whether a running generation can be copied to another engine
     * @param supportsBackups whether an engine can keep a backup of a running generation up to date at another engine
     * @param tokensPerEvent tokens in one event of a stream
     */
    public record EngineTraits(long memoryTokens, boolean supportsCopies, boolean supportsBackups, int tokensPerEvent) {
        /**
         * Checks the components.
         *
         * @throws IllegalArgumentException if a number is not positive
         */
        public EngineTraits {
            if (memoryTokens < 1 || tokensPerEvent < 1) {
                throw new IllegalArgumentException("memory and tokens per event must be positive");
            }
        }
    }

    /**
     * Checks the components.
     *
     * @throws IllegalArgumentException if the number of connections is negative
     */
    public ServiceSpec {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(engine, "engine");
        if (maxConnections < 0) {
            throw new IllegalArgumentException("service " + name + ": connections must not be negative");
        }
    }
}
