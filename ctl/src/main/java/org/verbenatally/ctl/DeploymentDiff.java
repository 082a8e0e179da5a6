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
 * The differences between two deployments, as sentences for the operator.
 *
 * @param changes changes that the new document makes
 * @param warnings changes that can harm callers
 */
record DeploymentDiff(List<String> changes, List<String> warnings) {
    /** A share or a concurrency limit that falls to this fraction of its old value, or below, causes a warning. */
    private static final double WARNING_FRACTION = 0.5;

    /** Compares an old deployment with a new one. */
    static DeploymentDiff between(Deployment before, Deployment after) {
        DeploymentDiff diff = new DeploymentDiff(new ArrayList<>(), new ArrayList<>());
        diff.compareVersions(before, after);
        diff.compareTargets(before, after);
        diff.compareModels(before, after);
        diff.compareKinds(before, after);
        diff.compareOrganisations(before, after);
        diff.compareDeploymentSettings(before, after);
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
        addedKeys(before.targets(), after.targets()).forEach(id -> changes.add("target " + id + " is added"));
        for (Target old : before.targets().values()) {
            Target updated = after.targets().get(old.id());
            if (updated == null) {
                changes.add("target " + old.id() + " is removed");
                if (!old.leaving()) {
                    warnings.add(
                            "target %s is removed without having been marked as leaving first".formatted(old.id()));
                }
            } else if (!updated.equals(old)) {
                compareTarget(old, updated);
            }
        }
    }

    private void compareTarget(Target old, Target updated) {
        String prefix = "target " + old.id() + ": ";
        if (!old.address().equals(updated.address())) {
            changes.add(prefix + "address changes from %s to %s".formatted(old.address(), updated.address()));
        }
        if (!old.models().equals(updated.models())) {
            changes.add(prefix + "models change from %s to %s".formatted(formatModels(old), formatModels(updated)));
        }
        if (old.leaving() != updated.leaving()) {
            changes.add(
                    prefix + (updated.leaving() ? "is leaving and receives no new work" : "receives new work again"));
        }
        if (old.maxConcurrent() != updated.maxConcurrent()) {
            changes.add(prefix
                    + "maxConcurrent changes from %d to %d".formatted(old.maxConcurrent(), updated.maxConcurrent()));
            if (updated.maxConcurrent() <= old.maxConcurrent() * WARNING_FRACTION) {
                warnings.add(prefix + "maxConcurrent falls to half or less");
            }
        }
        if (!old.role().equals(updated.role())) {
            changes.add(prefix + "role changes from %s to %s".formatted(old.role(), updated.role()));
        }
        if (old.checksFence() != updated.checksFence()) {
            changes.add(prefix + "checksFence becomes " + updated.checksFence());
        }
        if (old.type() != updated.type() || !old.failureDomain().equals(updated.failureDomain())) {
            changes.add(prefix + "type or failure domain changes");
        }
    }

    private void compareModels(Deployment before, Deployment after) {
        Set<ModelName> unserved = servedModels(before);
        unserved.removeAll(servedModels(after));
        for (ModelName model : unserved) {
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
        addedKeys(before.kinds(), after.kinds()).forEach(name -> changes.add("kind " + name + " is added"));
        for (Kind old : before.kinds().values()) {
            Kind updated = after.kinds().get(old.name());
            if (updated == null) {
                warnings.add("kind " + old.name() + " is removed: its callers are refused");
            } else if (!updated.equals(old)) {
                changes.add("kind %s changes from %s to %s".formatted(old.name(), old, updated));
                if (!old.repeatable() && updated.repeatable()) {
                    warnings.add("kind " + old.name() + " becomes repeatable: it may run more than once");
                }
                if (updated.deadline().compareTo(old.deadline()) < 0) {
                    warnings.add("kind %s: the deadline falls from %d to %d ms"
                            .formatted(
                                    old.name(),
                                    old.deadline().toMillis(),
                                    updated.deadline().toMillis()));
                }
            }
        }
    }

    private void compareOrganisations(Deployment before, Deployment after) {
        addedKeys(before.organisations(), after.organisations())
                .forEach(id -> changes.add("organisation " + id + " is added"));
        for (Organisation old : before.organisations().values()) {
            Organisation updated = after.organisations().get(old.id());
            if (updated == null) {
                warnings.add("organisation " + old.id() + " is removed: its callers are refused");
                continue;
            }
            if (!updated.credentialSha256().equals(old.credentialSha256())) {
                warnings.add("organisation " + old.id() + ": the credential changes; the old one is refused at once");
            }
            if (updated.share() != old.share()) {
                changes.add("organisation %s: share changes from %s to %s"
                        .formatted(old.id(), old.share(), updated.share()));
            }
            if (updated.share() <= old.share() * WARNING_FRACTION) {
                warnings.add("organisation " + old.id() + ": the share falls to half or less");
            }
            if (updated.requestsPerSecond() < old.requestsPerSecond() || updated.maxStreams() < old.maxStreams()) {
                warnings.add("organisation " + old.id() + ": its limits fall");
            } else if (updated.requestsPerSecond() > old.requestsPerSecond()
                    || updated.maxStreams() > old.maxStreams()) {
                changes.add("organisation " + old.id() + ": its limits rise");
            }
        }
    }

    private void compareDeploymentSettings(Deployment before, Deployment after) {
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

    private static <K extends Comparable<K>> Set<K> addedKeys(Map<K, ?> before, Map<K, ?> after) {
        Set<K> keys = new TreeSet<>(after.keySet());
        keys.removeAll(before.keySet());
        return keys;
    }

    /** Returns the models of all targets that are not leaving. */
    private static Set<ModelName> servedModels(Deployment deployment) {
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

    private static String formatModels(Target target) {
        return target.models().stream()
                .map(loaded -> loaded.model() + "@" + loaded.version())
                .collect(Collectors.joining(", ", "[", "]"));
    }
}
