package org.verbenatally.entry;

import java.util.HexFormat;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.verbenatally.config.ConfigHolder;
import org.verbenatally.config.Deployment;
import org.verbenatally.config.Target;
import org.verbenatally.core.TargetId;
import org.verbenatally.entry.caller.CallerServer;
import org.verbenatally.entry.operator.EntryMetrics;
import org.verbenatally.peer.TcpPeerNetwork;
import org.verbenatally.policy.Dispatcher;
import org.verbenatally.policy.TargetTable;
import org.verbenatally.wire.TargetLoad;

/** Builds the status and error-budget reports that operators read. */
final class StatusView {
    /** Maximum number of targets shown. Those with requests of this entry in flight come first. */
    private static final int MAX_TARGETS = 256;

    /** Fraction of requests that must meet their service levels, until a configuration states the objective. */
    private static final double DEFAULT_OBJECTIVE = 0.95;

    private final String instance;
    private final ConfigHolder<Deployment> config;
    private final TcpPeerNetwork<Deployment> peers;
    private final TargetTable targets;
    private final CallerServer callers;
    private final Dispatcher dispatcher;
    private final EntryMetrics metrics;
    private final Supplier<Optional<String>> notReadyReason;

    StatusView(
            String instance,
            ConfigHolder<Deployment> config,
            TcpPeerNetwork<Deployment> peers,
            TargetTable targets,
            CallerServer callers,
            Dispatcher dispatcher,
            EntryMetrics metrics,
            Supplier<Optional<String>> notReadyReason) {
        this.instance = Objects.requireNonNull(instance, "instance");
        this.config = Objects.requireNonNull(config, "config");
        this.peers = Objects.requireNonNull(peers, "peers");
        this.targets = Objects.requireNonNull(targets, "targets");
        this.callers = Objects.requireNonNull(callers, "callers");
        this.dispatcher = Objects.requireNonNull(dispatcher, "dispatcher");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
        this.notReadyReason = Objects.requireNonNull(notReadyReason, "notReadyReason");
    }

    /** Returns the state of this entry, the members that it knows and its targets. */
    JsonObject status() {
        Optional<String> reason = notReadyReason.get();
        JsonObject json = new JsonObject()
                .put("instance", instance)
                .put("incarnation", peers.incarnation().toString())
                .put("ready", reason.isEmpty())
                .put("openRequests", callers.openRequests())
                .put("openGenerations", callers.openGenerations())
                .put("queued", dispatcher.queuedRequests())
                .put("usedKeys", callers.keyedCalls().store().usedKeyCount());
        reason.ifPresent(text -> json.put("notReady", text));
        config.document()
                .ifPresent(document -> json.put(
                                "configVersion", document.deployment().version().value())
                        .put("configDigest", HexFormat.of().formatHex(document.digest())));
        return json.put("members", members()).put("targets", targets());
    }

    private JsonArray members() {
        JsonArray array = new JsonArray();
        peers.members()
                .forEach(member -> array.add(new JsonObject()
                        .put("instance", member.instance().value())
                        .put("status", member.status().name().toLowerCase(Locale.ROOT))
                        .put("configVersion", member.configVersion().value())
                        .put("failureDomain", member.failureDomain().value())));
        return array;
    }

    private JsonArray targets() {
        Map<String, TargetLoad> loads =
                targets.ownLoads().stream().collect(Collectors.toMap(TargetLoad::getTarget, Function.identity()));
        Set<TargetId> leaving = targets.leavingTargets();
        JsonArray array = new JsonArray();
        config.deployment()
                .ifPresent(deployment -> deployment.targets().values().stream()
                        .sorted((a, b) -> compare(a, b, loads))
                        .limit(MAX_TARGETS)
                        .forEach(target ->
                                array.add(target(target, loads.get(target.id().value()), leaving))));
        return array;
    }

    private static int compare(Target a, Target b, Map<String, TargetLoad> loads) {
        int rankA = loads.containsKey(a.id().value()) ? 0 : 1;
        int rankB = loads.containsKey(b.id().value()) ? 0 : 1;
        return rankA != rankB ? rankA - rankB : a.id().compareTo(b.id());
    }

    private static JsonObject target(Target target, TargetLoad load, Set<TargetId> leaving) {
        return new JsonObject()
                .put("target", target.id().value())
                .put("type", target.type().name().toLowerCase(Locale.ROOT))
                .put("leaving", target.leaving() || leaving.contains(target.id()))
                .put("ownRequests", load == null ? 0 : load.getRequests())
                .put("ownTokens", load == null ? 0 : load.getTokens());
    }

    /** Returns the consumption of the error budget, by kind and by organisation. */
    JsonObject errorBudget() {
        return metrics.errorBudget()
                .report(config.deployment().map(d -> d.levels().objective()).orElse(DEFAULT_OBJECTIVE))
                .put("instance", instance);
    }
}
