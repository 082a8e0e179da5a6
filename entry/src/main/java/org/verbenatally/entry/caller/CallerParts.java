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
 * The parts of the entry process that the callers' interface uses.
 *
 * @param timer timer service
 * @param config configuration in force
 * @param dispatcher admission, queueing and routing
 * @param targets what this entry knows of the targets
 * @param suspects requests that may crash targets
 * @param clients clients of targets
 * @param loads reads load reports
 * @param peers links to other entries
 * @param streamTokens writes and checks stream tokens
 * @param metrics metrics
 * @param log traces of the latest requests
 * @param limits limits of each organisation
 * @param runs engine requests served now
 */
record CallerParts(
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

    CallerParts {
        Objects.requireNonNull(timer, "timer");
        Objects.requireNonNull(config, "config");
    }

    /** Returns a target of the deployment in force. */
    Optional<Target> target(TargetId id) {
        return config.deployment().map(deployment -> deployment.targets().get(id));
    }

    /** Returns the number of targets of the type that runs the kind, at least one. */
    int enginesFor(Kind kind) {
        return config.deployment()
                .map(deployment -> (int) deployment.targets().values().stream()
                        .filter(target -> target.type() == kind.runsOn() && !target.leaving())
                        .count())
                .filter(count -> count > 0)
                .orElse(1);
    }

    /** Gives a target no new work from now on and tells the peers at once. */
    void targetLeaving(TargetId target) {
        targets.markLeaving(target);
        peers.push();
    }
}
