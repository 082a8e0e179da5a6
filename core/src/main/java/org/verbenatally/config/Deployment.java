package org.verbenatally.config;

import java.util.Map;
import java.util.Objects;

import org.verbenatally.core.ConfigVersion;
import org.verbenatally.core.KindName;
import org.verbenatally.core.OrganisationId;
import org.verbenatally.core.TargetId;

/**
 * A deployment document that passed all checks. Immutable; get the one in force from {@link ConfigHolder}.
 *
 * @param name name of the deployment
 * @param version its version
 * @param entryCount planned number of entry instances
 * @param limits limits on callers' input
 * @param levels service levels
 * @param organisations organisations by id
 * @param kinds kinds of work by name
 * @param targets targets by id
 * @param loadsPerMinute most model loads a minute over all issuers
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
     * Limits on callers' input.
     *
     * @param maxBodyBytes largest request body, in bytes
     * @param maxQueued most requests that wait for admission at one entry
     */
    public record Limits(int maxBodyBytes, int maxQueued) {}

    /**
     * Service levels.
     *
     * @param firstTokenMs target for the first token, in milliseconds
     * @param tokenGapMs target for the time between two tokens, in milliseconds
     * @param objective share of requests that must meet the targets
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
