package org.verbenatally.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

import org.verbenatally.settings.DeploymentDocument;
import org.verbenatally.settings.KindDocument;
import org.verbenatally.settings.LoadedModelDocument;
import org.verbenatally.settings.OrganisationDocument;
import org.verbenatally.settings.TargetDocument;

/** Checks what the schema cannot express: unique ids, and references from one part of a document to another. */
final class ReferenceChecker {
    private final byte[] json;
    private final List<ConfigException.Fault> faults = new ArrayList<>();
    private Map<String, Integer> lines;

    ReferenceChecker(byte[] json) {
        this.json = json;
    }

    List<ConfigException.Fault> check(DeploymentDocument document) {
        checkUnique("/organisations", "id", document.getOrganisations(), OrganisationDocument::getId);
        checkUnique("/kinds", "name", document.getKinds(), KindDocument::getName);
        checkUnique("/targets", "id", document.getTargets(), TargetDocument::getId);
        checkUnique("/targets", "port", document.getTargets(), t -> t.getHost() + ":" + t.getPort());
        checkUnique(
                "/organisations",
                "credentialSha256",
                document.getOrganisations(),
                OrganisationDocument::getCredentialSha256);
        checkKinds(document);
        checkDefaultKinds(document);
        checkTargets(document.getTargets());
        return faults;
    }

    private <T> void checkUnique(String path, String field, List<T> items, Function<T, String> key) {
        Map<String, Integer> firstIndex = new HashMap<>();
        for (int i = 0; i < items.size(); i++) {
            Integer previous = firstIndex.putIfAbsent(key.apply(items.get(i)), i);
            if (previous != null) {
                addFault(
                        path + "/" + i + "/" + field,
                        "must be unique, but " + path + "/" + previous + " has the same value");
            }
        }
    }

    private void checkKinds(DeploymentDocument document) {
        Set<String> models = new HashSet<>();
        Set<String> adapters = new HashSet<>();
        boolean hasService = false;
        for (TargetDocument t : document.getTargets()) {
            hasService |= t.getType() == TargetDocument.Type.SERVICE;
            if (t.getType() == TargetDocument.Type.ENGINE) {
                for (LoadedModelDocument m : t.getModels()) {
                    models.add(m.getModel());
                    m.getAdapters().forEach(a -> adapters.add(m.getModel() + "/" + a));
                }
            }
        }
        List<KindDocument> kinds = document.getKinds();
        for (int i = 0; i < kinds.size(); i++) {
            checkKind("/kinds/" + i, kinds.get(i), models, adapters, hasService);
        }
    }

    private void checkKind(
            String path, KindDocument kind, Set<String> models, Set<String> adapters, boolean hasService) {
        if (kind.getRunsOn() == KindDocument.RunsOn.SERVICE) {
            if (!hasService) {
                addFault(path + "/runsOn", "requires at least one target of type service");
            }
            if (kind.getModel() != null || kind.getAdapter() != null) {
                addFault(path + "/model", "only kinds that run on engines may name a model or an adapter");
            }
            if (kind.getDelivery() == KindDocument.Delivery.STREAM) {
                addFault(path + "/delivery", "must be whole for kinds that run on plain services");
            }
        } else if (kind.getModel() == null) {
            addFault(path + "/model", "kinds that run on engines must name a model");
        } else if (!models.contains(kind.getModel())) {
            addFault(path + "/model", "must be a model of at least one engine");
        } else if (kind.getAdapter() != null && !adapters.contains(kind.getModel() + "/" + kind.getAdapter())) {
            addFault(path + "/adapter", "must be an adapter on that model on at least one engine");
        }
        if (kind.getTypicalTokens() > kind.getMaxTokens()) {
            addFault(path + "/typicalTokens", "must be at most maxTokens");
        }
    }

    private void checkDefaultKinds(DeploymentDocument document) {
        Set<String> engineKinds = new HashSet<>();
        document.getKinds().stream()
                .filter(k -> k.getRunsOn() == KindDocument.RunsOn.ENGINE)
                .forEach(k -> engineKinds.add(k.getName()));
        List<OrganisationDocument> organisations = document.getOrganisations();
        for (int i = 0; i < organisations.size(); i++) {
            String kind = organisations.get(i).getDefaultKind();
            if (kind != null && !engineKinds.contains(kind)) {
                addFault("/organisations/" + i + "/defaultKind", "must be the name of a kind that runs on engines");
            }
        }
    }

    private void checkTargets(List<TargetDocument> targets) {
        for (int i = 0; i < targets.size(); i++) {
            TargetDocument target = targets.get(i);
            String path = "/targets/" + i;
            checkUnique(path + "/models", "model", target.getModels(), LoadedModelDocument::getModel);
            if (target.getType() == TargetDocument.Type.SERVICE
                    && !target.getModels().isEmpty()) {
                addFault(path + "/models", "only engines may have models");
            }
        }
    }

    private void addFault(String field, String expected) {
        if (lines == null) {
            lines = JsonChecker.lines(json);
        }
        int line = lines.getOrDefault(field, 0);
        if (line == 0) {
            line = lines.getOrDefault(field.substring(0, field.lastIndexOf('/')), 0);
        }
        faults.add(new ConfigException.Fault(line, field, expected));
    }
}
