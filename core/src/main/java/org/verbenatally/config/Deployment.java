package org.verbenatally.config;

import java.util.Map;
import java.util.Objects;

import org.verbenatally.core.ConfigVersion;
import org.verbenatally.core.KindName;
import org.verbenatally.core.OrganisationId;
import org.verbenatally.core.TargetId;

/**
 * A deployment document that passed all checks. Immutable; {@link ConfigHolder} holds the one in force.
 *
 * @param name name of the deployment
 * @param version version of the document
 * @param entryCount planned number of entry instances
 * @param limits limits on the input of callers
 * @param levels service levels
 * @param organisations organisations by id
 * @param kinds kinds of work by name
 * @param targets targets by id
 * @param loadsPerMinute maximum number of model loads per minute across all issuers of orders
 */
public record Deployment(
        String name,
        ConfigVersion version,
        int entryCount,
        Limits limits,
        Levels levels,
        Map<OrganisationId, Organisation> organisations,
        Map<KindName, Kind> kinds,
        Map<TargetId, Target> targets,
        double loadsPerMinute)
        implements VersionedDeployment {

    /**
     * Limits on the input of callers.
     *
     * @param maxBodyBytes maximum size of a request body, in bytes
     * @param maxQueued maximum number of requests that wait for admission at one entry
     */
    public record Limits(int maxBodyBytes, int maxQueued) {}

    /**
     * Service levels.
     *
     * @param firstTokenMs target time to the first token, in milliseconds
     * @param tokenGapMs target time between two tokens, in milliseconds
     * @param objective fraction of requests that must meet both target times
     */
    public record Levels(int firstTokenMs, int tokenGapMs, double objective) {}

    /** Copies the maps. */
    public Deployment {
        Objects.requireNonNull(name, "name");
        organisations = Map.copyOf(organisations);
        kinds = Map.copyOf(kinds);
        targets = Map.copyOf(targets);
    }
}
