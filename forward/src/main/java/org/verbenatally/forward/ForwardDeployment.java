package org.verbenatally.forward;

import java.util.HashMap;
import java.util.IntSummaryStatistics;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.verbenatally.config.VersionedDeployment;
import org.verbenatally.core.ConfigVersion;
import org.verbenatally.core.OrganisationId;
import org.verbenatally.core.ServiceName;
import org.verbenatally.forward.admission.RankInService;

/** Routes, services, organisations and limits in force. Immutable. */
public final class ForwardDeployment implements VersionedDeployment {

    /** Name of the only deployment that an instance serves. */
    public static final String NAME = "forward";

    /**
     * Limits on what callers send.
     *
     * @param headerBytes largest request head
     * @param bodyBytes largest request body
     */
    public record CallerLimits(int headerBytes, int bodyBytes) {}

    private record Prefix(String host, String path) {}

    private final ConfigVersion version;
    private final Map<Prefix, Route> routes;
    private final Map<ServiceName, ServiceSpec> services;
    private final Optional<Map<String, OrganisationId>> credentials;
    private final Map<OrganisationId, Integer> priorities;
    private final CallerLimits limits;
    /** Ranks of the routes whose generations each service gets. */
    private final Map<ServiceName, IntSummaryStatistics> generationRanks = new HashMap<>();

    /** Creates a deployment whose organisations have no priorities of their own. */
    public ForwardDeployment(
            ConfigVersion version,
            List<Route> routes,
            List<ServiceSpec> services,
            Optional<Map<String, OrganisationId>> credentials,
            CallerLimits limits) {
        this(version, routes, services, credentials, Map.of(), limits);
    }

    /**
     * Creates a deployment.
     *
     * @param version its version
     * @param routes routes; of two with the same host and prefix the first counts
     * @param services services that the routes name
     * @param credentials organisation of each credential, possibly none; empty if requests need no credential
     * @param priorities ranks of organisations that take precedence over those of the routes, 0 first; none if they
     *     do not distinguish any organisation from another
     * @param limits limits on what callers send
     */
    public ForwardDeployment(
            ConfigVersion version,
            List<Route> routes,
            List<ServiceSpec> services,
            Optional<Map<String, OrganisationId>> credentials,
            Map<OrganisationId, Integer> priorities,
            CallerLimits limits) {
        this.version = Objects.requireNonNull(version, "version");
        this.limits = Objects.requireNonNull(limits, "limits");
        this.credentials = credentials.map(Map::copyOf);
        this.priorities = Map.copyOf(priorities);
        this.routes = new HashMap<>();
        routes.forEach(r -> this.routes.putIfAbsent(new Prefix(lowerCase(r.host()), r.pathPrefix()), r));
        this.services = new HashMap<>();
        services.forEach(s -> this.services.put(s.name(), s));
        this.routes.values().stream()
                .filter(r -> r.retrySafety() == RetrySafety.GENERATION)
                .forEach(r -> r.shares().stream()
                        .filter(share -> share.weight() > 0 || r.shares().size() == 1)
                        .forEach(share -> generationRanks
                                .computeIfAbsent(share.service(), s -> new IntSummaryStatistics())
                                .accept(r.priority())));
    }

    private static String lowerCase(String host) {
        return host.toLowerCase(Locale.ROOT);
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public ConfigVersion version() {
        return version;
    }

    /** Returns the route of a host whose prefix is the longest that begins the path. */
    public Optional<Route> route(String host, String path) {
        String lowerCase = lowerCase(host);
        for (int slash = path.lastIndexOf('/'); slash >= 0; slash = path.lastIndexOf('/', slash - 1)) {
            Route route = routes.get(new Prefix(lowerCase, path.substring(0, slash + 1)));
            if (route != null) {
                return Optional.of(route);
            }
            if (slash == 0) {
                break;
            }
        }
        return Optional.empty();
    }

    /** Returns the service with the given name. */
    public Optional<ServiceSpec> service(ServiceName service) {
        return Optional.ofNullable(services.get(service));
    }

    /** Returns the rank of a route among those whose generations a service gets. */
    public RankInService rank(Route route, ServiceName service) {
        IntSummaryStatistics ranks = generationRanks.get(service);
        return ranks == null
                ? RankInService.alone(route.priority())
                : new RankInService(
                        route.priority(),
                        Math.min(route.priority(), ranks.getMin()),
                        Math.max(route.priority(), ranks.getMax()));
    }

    /** Returns the rank in the queue of an instance: that of the organisation, or that of the route if it has none. */
    public int queueRank(Route route, Optional<OrganisationId> organisation) {
        return organisation.map(priorities::get).orElse(route.priority());
    }

    /** Returns whether requests need a credential, unless their route allows anonymous callers. */
    public boolean needsCredential() {
        return credentials.isPresent();
    }

    /** Returns the organisation that a credential belongs to. */
    public Optional<OrganisationId> organisation(String credential) {
        return credentials.map(known -> known.get(credential));
    }

    /** Returns the limits on what callers send. */
    public CallerLimits limits() {
        return limits;
    }

    /** Returns the number of routes. */
    public int routeCount() {
        return routes.size();
    }
}
