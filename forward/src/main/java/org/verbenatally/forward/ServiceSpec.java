package org.verbenatally.forward;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

import org.verbenatally.core.ServiceName;

/**
 * A group of targets that serve the same requests.
 *
 * @param name its name
 * @param maxConnections maximum number of connections that one target accepts from all instances together
 * @param engine traits of its model engines; empty for a plain service
 * @param coldLimit what its targets can handle after they start; empty if that is not limited
 */
public record ServiceSpec(
        ServiceName name, int maxConnections, Optional<EngineTraits> engine, Optional<ColdLimit> coldLimit) {

    /**
     * What a target can handle while it is cold.
     *
     * @param coldTime time after its start for which it is cold
     * @param perSecond requests that it can handle in a second, from all instances together
     */
    public record ColdLimit(Duration coldTime, double perSecond) {
        /** Longest cold time; signs of cold targets are kept for as long. */
        public static final Duration MAX_COLD_TIME = Duration.ofHours(1);

        private static final double MAX_PER_SECOND = 1_000_000;

        /**
         * Checks the components.
         *
         * @throws IllegalArgumentException if the time is negative or too long, or the number not positive or too large
         */
        public ColdLimit {
            if (coldTime.isNegative() || coldTime.compareTo(MAX_COLD_TIME) > 0) {
                throw new IllegalArgumentException("cold time must be from 0 to " + MAX_COLD_TIME.toSeconds() + " s");
            }
            if (!(perSecond > 0 && perSecond <= MAX_PER_SECOND)) {
                throw new IllegalArgumentException(
                        "requests per second of a cold target must be more than 0 and at most " + MAX_PER_SECOND);
            }
        }
    }

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
        Objects.requireNonNull(coldLimit, "coldLimit");
        if (maxConnections < 0) {
            throw new IllegalArgumentException("service " + name + ": connections must not be negative");
        }
    }

    /** Creates a service whose targets are not limited while they are cold. */
    public ServiceSpec(ServiceName name, int maxConnections, Optional<EngineTraits> engine) {
        this(name, maxConnections, engine, Optional.empty());
    }
}
