package org.verbenatally.ctl;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

import org.verbenatally.config.Deployment;
import org.verbenatally.config.Kind;
import org.verbenatally.config.Organisation;
import org.verbenatally.config.Target;
import org.verbenatally.config.TargetType;
import org.verbenatally.core.ModelName;

/**
 * The difference between two deployments, in sentences.
 *
 * @param changes what the new document does
 * @param warnings changes that hurt callers
 */
record DeploymentDiff(List<String> changes, List<String> warnings) {
    /** A share or a concurrency that falls to this part of its old value is worth a warning. */
    private static final double HALVED = 0.5;

    /** Compares two deployments. */
    static DeploymentDiff between(Deployment before, Deployment after) {
        DeploymentDiff diff = new DeploymentDiff(new ArrayList<>(), new ArrayList<>());
        diff.compareVersions(before, after);
        diff.compareTargets(before, after);
        diff.compareModels(before, after);
        diff.compareKinds(before, after);
        diff.compareOrganisations(before, after);
        diff.compareWhole(before, after);
        return diff;
    }

    private void compareVersions(Deployment before, Deployment after) {
        if (!before.name().equals(after.name())) {
            warnings.add("the documents are of two deployments, %s and %s".formatted(before.name(), after.name()));
        }
        if (after.version().compareTo(before.version()) <= 0) {
            warnings.add("version %s does not follow %s: entries would ignore the new document"
                    .formatted(after.version(), before.version()));
        }
    }

    private void compareTargets(Deployment before, Deployment after) {
        added(before.targets(), after.targets()).forEach(id -> changes.add("target " + id + " is added"));
        for (Target old : before.targets().values()) {
            Target now = after.targets().get(old.id());
            if (now == null) {
                changes.add("target " + old.id() + " is removed");
                if (!old.leaving()) {
                    warnings.add(
                            "target %s is removed without having been marked as leaving first".formatted(old.id()));
                }
            } else if (!now.equals(old)) {
                compareTarget(old, now);
            }
        }
    }

    private void compareTarget(Target old, Target now) {
        String name = "target " + old.id() + ": ";
        if (!old.address().equals(now.address())) {
            changes.add(name + "address changes from %s to %s".formatted(old.address(), now.address()));
        }
        if (!old.models().equals(now.models())) {
            changes.add(name + "models change from %s to %s".formatted(models(old), models(now)));
        }
        if (old.leaving() != now.leaving()) {
            changes.add(name + (now.leaving() ? "is leaving and receives no new work" : "receives new work again"));
        }
        if (old.maxConcurrent() != now.maxConcurrent()) {
            changes.add(
                    name + "maxConcurrent changes from %d to %d".formatted(old.maxConcurrent(), now.maxConcurrent()));
            if (now.maxConcurrent() <= old.maxConcurrent() * HALVED) {
                warnings.add(name + "maxConcurrent falls to half or less");
            }
        }
        if (!old.role().equals(now.role())) {
            changes.add(name + "role changes from %s to %s".formatted(old.role(), now.role()));
        }
        if (old.checksFence() != now.checksFence()) {
            changes.add(name + "checksFence becomes " + now.checksFence());
        }
        if (old.type() != now.type() || !old.failureDomain().equals(now.failureDomain())) {
            changes.add(name + "type or failure domain changes");
        }
    }

    private void compareModels(Deployment before, Deployment after) {
        Set<ModelName> lost = served(before);
        lost.removeAll(served(after));
        for (ModelName model : lost) {
            String kinds = after.kinds().values().stream()
                    .filter(kind -> kind.model().equals(Optional.of(model)))
                    .map(kind -> kind.name().value())
                    .sorted()
                    .collect(Collectors.joining(", "));
            warnings.add("no target serves model %s any more%s"
                    .formatted(model, kinds.isEmpty() ? "" : ", which " + kinds + " need"));
        }
        boolean serviceBefore = hasService(before);
        if (serviceBefore && !hasService(after)) {
            warnings.add("no plain service is left");
        }
    }

    private void compareKinds(Deployment before, Deployment after) {
        added(before.kinds(), after.kinds()).forEach(name -> changes.add("kind " + name + " is added"));
        for (Kind old : before.kinds().values()) {
            Kind now = after.kinds().get(old.name());
            if (now == null) {
                warnings.add("kind " + old.name() + " is removed: its callers are refused");
            } else if (!now.equals(old)) {
                changes.add("kind %s changes from %s to %s".formatted(old.name(), old, now));
                if (!old.repeatable() && now.repeatable()) {
                    warnings.add("kind " + old.name() + " becomes repeatable: it may run more than once");
                }
                if (now.deadline().compareTo(old.deadline()) < 0) {
                    warnings.add("kind %s: the deadline falls from %d to %d ms"
                            .formatted(
                                    old.name(),
                                    old.deadline().toMillis(),
                                    now.deadline().toMillis()));
                }
            }
        }
    }

    private void compareOrganisations(Deployment before, Deployment after) {
        added(before.organisations(), after.organisations())
                .forEach(id -> changes.add("organisation " + id + " is added"));
        for (Organisation old : before.organisations().values()) {
            Organisation now = after.organisations().get(old.id());
            if (now == null) {
                warnings.add("organisation " + old.id() + " is removed: its callers are refused");
                continue;
            }
            if (!now.credentialSha256().equals(old.credentialSha256())) {
                warnings.add("organisation " + old.id() + ": the credential changes; the old one is refused at once");
            }
            if (now.share() != old.share()) {
                changes.add(
                        "organisation %s: share changes from %s to %s".formatted(old.id(), old.share(), now.share()));
            }
            if (now.share() <= old.share() * HALVED) {
                warnings.add("organisation " + old.id() + ": the share falls to half or less");
            }
            if (now.requestsPerSecond() < old.requestsPerSecond() || now.maxStreams() < old.maxStreams()) {
                warnings.add("organisation " + old.id() + ": its limits fall");
            } else if (now.requestsPerSecond() > old.requestsPerSecond() || now.maxStreams() > old.maxStreams()) {
                changes.add("organisation " + old.id() + ": its limits rise");
            }
        }
    }

    private void compareWhole(Deployment before, Deployment after) {
        if (before.entryCount() != after.entryCount()) {
            changes.add("entryCount changes from %d to %d".formatted(before.entryCount(), after.entryCount()));
        }
        if (!Objects.equals(before.limits(), after.limits())) {
            changes.add("limits change from %s to %s".formatted(before.limits(), after.limits()));
        }
        if (!Objects.equals(before.levels(), after.levels())) {
            changes.add("service levels change from %s to %s".formatted(before.levels(), after.levels()));
        }
        if (before.loadsPerMinute() != after.loadsPerMinute()) {
            changes.add(
                    "loadsPerMinute changes from %s to %s".formatted(before.loadsPerMinute(), after.loadsPerMinute()));
        }
    }

    private static <K extends Comparable<K>> Set<K> added(Map<K, ?> before, Map<K, ?> after) {
        Set<K> ids = new TreeSet<>(after.keySet());
        ids.removeAll(before.keySet());
        return ids;
    }

    private static Set<ModelName> served(Deployment deployment) {
        Set<ModelName> models = new HashSet<>();
        deployment.targets().values().stream()
                .filter(target -> !target.leaving())
                .forEach(target -> target.models().forEach(loaded -> models.add(loaded.model())));
        return models;
    }

    private static boolean hasService(Deployment deployment) {
        return deployment.targets().values().stream()
                .anyMatch(target -> target.type() == TargetType.SERVICE && !target.leaving());
    }

    private static String models(Target target) {
        return target.models().stream()
                .map(loaded -> loaded.model() + "@" + loaded.version())
                .collect(Collectors.joining(", ", "[", "]"));
    }
}
