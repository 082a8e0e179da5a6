package org.verbenatally.entry.caller;

import java.util.Objects;
import java.util.Optional;

import org.verbenatally.config.ConfigHolder;
import org.verbenatally.config.Deployment;
import org.verbenatally.config.Kind;
import org.verbenatally.config.Target;
import org.verbenatally.core.TargetId;
import org.verbenatally.entry.operator.EntryMetrics;
import org.verbenatally.entry.operator.RequestLog;
import org.verbenatally.entry.target.LoadPoller;
import org.verbenatally.entry.target.TargetClients;
import org.verbenatally.peer.PeerNetwork;
import org.verbenatally.policy.Dispatcher;
import org.verbenatally.policy.SuspectTable;
import org.verbenatally.policy.TargetTable;
import org.verbenatally.time.TimerService;

/**
 * The components of the entry process that the callers' HTTP interface uses.
 *
 * @param timer timer service
 * @param config configuration in force
 * @param dispatcher admission, queueing and routing
 * @param targets state of the targets
 * @param suspects requests suspected of crashing targets
 * @param clients clients of the targets
 * @param loads polls the targets' load reports
 * @param peers links to the other entries
 * @param streamTokens signs and verifies stream tokens
 * @param metrics metrics
 * @param log traces of recent requests
 * @param limits limits of each organisation
 * @param runs engine requests that are being served
 */
record CallerComponents(
        TimerService timer,
        ConfigHolder<Deployment> config,
        Dispatcher dispatcher,
        TargetTable targets,
        SuspectTable suspects,
        TargetClients clients,
        LoadPoller loads,
        PeerNetwork peers,
        StreamTokens streamTokens,
        EntryMetrics metrics,
        RequestLog log,
        OrganisationLimits limits,
        LiveRuns runs) {

    CallerComponents {
        Objects.requireNonNull(timer, "timer");
        Objects.requireNonNull(config, "config");
    }

    /** Returns a target of the deployment in force, or empty if it has none with this id. */
    Optional<Target> target(TargetId id) {
        return config.deployment().map(deployment -> deployment.targets().get(id));
    }

    /** Returns the number of targets of the type that runs the kind and that are not leaving; at least 1. */
    int targetCount(Kind kind) {
        return config.deployment()
                .map(deployment -> (int) deployment.targets().values().stream()
                        .filter(target -> target.type() == kind.runsOn() && !target.leaving())
                        .count())
                .filter(count -> count > 0)
                .orElse(1);
    }

    /** Marks a target as leaving, so that it receives no new work, and notifies the peers immediately. */
    void markLeaving(TargetId target) {
        targets.markLeaving(target);
        peers.sendStateNow();
    }
}
