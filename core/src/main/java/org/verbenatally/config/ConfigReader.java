package org.verbenatally.config;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;

import org.verbenatally.config.ConfigHolder.ConfigDocumentInForce;
import org.verbenatally.core.Address;
import org.verbenatally.core.ConfigVersion;
import org.verbenatally.core.FailureDomain;
import org.verbenatally.core.KindName;
import org.verbenatally.core.ModelName;
import org.verbenatally.core.OrganisationId;
import org.verbenatally.core.TargetId;
import org.verbenatally.settings.DeploymentDocument;
import org.verbenatally.settings.KindDocument;
import org.verbenatally.settings.LevelsDocument;
import org.verbenatally.settings.LimitsDocument;
import org.verbenatally.settings.OrganisationDocument;
import org.verbenatally.settings.TargetDocument;
import org.verbenatally.settings.WeightStoreDocument;

/** Reads deployment documents: JSON with comments, validated against the schema and for consistent references. */
public final class ConfigReader {
    /** Maximum size of a document, in bytes; the platform's configuration service stores values of up to a megabyte. */
    public static final int MAX_BYTES = 1 << 20;

    private static final JsonChecker<DeploymentDocument> CHECKER =
            new JsonChecker<>(DeploymentDocument.class, "deployment.schema.json");

    private ConfigReader() {}

    /**
     * Reads a deployment document.
     *
     * @param source name of the document or of the peer it came from, for error messages
     * @param json the document, at most {@link #MAX_BYTES}
     * @throws ConfigException if the document is invalid; lists the faults
     */
    public static Deployment read(String source, byte[] json) throws ConfigException {
        Objects.requireNonNull(json, "json");
        if (json.length > MAX_BYTES) {
            throw new ConfigException(
                    source, List.of(new ConfigException.Fault(0, "", "must be at most " + MAX_BYTES + " bytes")));
        }
        DeploymentDocument document = CHECKER.read(source, json);
        List<ConfigException.Fault> faults = new ReferenceChecker(json).check(document);
        if (!faults.isEmpty()) {
            throw new ConfigException(source, faults);
        }
        try {
            return deployment(document);
        } catch (IllegalArgumentException e) {
            throw new ConfigException(source, List.of(new ConfigException.Fault(0, "", e.getMessage())));
        }
    }

    /**
     * Reads a deployment document and keeps its bytes and digest for exchange with peers.
     *
     * @param source name of the document or of the peer it came from, for error messages
     * @param json the document, at most {@link #MAX_BYTES}
     * @throws ConfigException if the document is invalid; lists the faults
     */
    public static ConfigDocumentInForce<Deployment> readDocument(String source, byte[] json) throws ConfigException {
        DocumentReader<Deployment> reader = ConfigReader::read;
        return reader.readDocument(source, json);
    }

    /** Returns the SHA-256 digest of a document, 32 bytes. */
    public static byte[] digest(byte[] json) {
        try {
            return MessageDigest.getInstance("SHA-256").digest(json);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform must provide SHA-256", e);
        }
    }

    private static Deployment deployment(DeploymentDocument d) {
        LimitsDocument limits = Objects.requireNonNullElseGet(d.getLimits(), LimitsDocument::new);
        LevelsDocument levels = Objects.requireNonNullElseGet(d.getLevels(), LevelsDocument::new);
        WeightStoreDocument store = Objects.requireNonNullElseGet(d.getWeightStore(), WeightStoreDocument::new);
        return new Deployment(
                d.getDeployment(),
                new ConfigVersion(d.getVersion()),
                d.getEntryCount(),
                new Deployment.Limits(limits.getMaxBodyBytes(), limits.getMaxQueued()),
                new Deployment.Levels(levels.getFirstTokenMs(), levels.getTokenGapMs(), levels.getObjective()),
                index(d.getOrganisations(), ConfigReader::organisation, Organisation::id),
                index(d.getKinds(), ConfigReader::kind, Kind::name),
                index(d.getTargets(), ConfigReader::target, Target::id),
                store.getLoadsPerMinute());
    }

    private static <D, K, V> Map<K, V> index(List<D> documents, Function<D, V> read, Function<V, K> key) {
        Map<K, V> result = LinkedHashMap.newLinkedHashMap(documents.size());
        documents.stream().map(read).forEach(v -> result.put(key.apply(v), v));
        return result;
    }

    private static Organisation organisation(OrganisationDocument o) {
        return new Organisation(
                new OrganisationId(o.getId()),
                o.getCredentialSha256(),
                o.getShare(),
                o.getRequestsPerSecond(),
                o.getMaxStreams(),
                Optional.ofNullable(o.getDefaultKind()).map(KindName::new));
    }

    private static Kind kind(KindDocument k) {
        return new Kind(
                new KindName(k.getName()),
                k.getRunsOn() == KindDocument.RunsOn.ENGINE ? TargetType.ENGINE : TargetType.SERVICE,
                Optional.ofNullable(k.getModel()).map(ModelName::new),
                Optional.ofNullable(k.getAdapter()),
                k.getUrgency() == KindDocument.Urgency.URGENT ? Kind.Urgency.URGENT : Kind.Urgency.PATIENT,
                k.getValue() == KindDocument.Value.HIGH ? Kind.Value.HIGH : Kind.Value.LOW,
                k.getRepeatable(),
                k.getDelivery() == KindDocument.Delivery.STREAM ? Kind.Delivery.STREAM : Kind.Delivery.WHOLE,
                Duration.ofMillis(k.getDeadlineMs()),
                k.getMaxTokens(),
                k.getTypicalTokens(),
                k.getMaxAttempts());
    }

    private static Target target(TargetDocument t) {
        return new Target(
                new TargetId(t.getId()),
                t.getType() == TargetDocument.Type.ENGINE ? TargetType.ENGINE : TargetType.SERVICE,
                new Address(t.getHost(), t.getPort()),
                new FailureDomain(t.getFailureDomain()),
                t.getModels().stream()
                        .map(m -> new Target.LoadedModel(new ModelName(m.getModel()), m.getVersion(), m.getAdapters()))
                        .toList(),
                t.getRole(),
                t.getChecksFence(),
                t.getMaxConcurrent(),
                t.getLeaving());
    }
}
