package org.verbenatally.ctl;

import java.nio.charset.StandardCharsets;
import java.util.List;

import org.verbenatally.config.ConfigException;
import org.verbenatally.config.ConfigReader;
import org.verbenatally.settings.AnswersDocument;
import org.verbenatally.settings.CallerAnswers;
import org.verbenatally.settings.ModelAnswers;
import org.verbenatally.settings.TargetAnswers;
import org.verbenatally.settings.WorkAnswers;

/**
 * Generates a deployment document from answers to the questionnaire. The same answers always give the same bytes, and
 * each generated value carries a comment that names the answer it was derived from.
 */
final class DeploymentGenerator {
    /** Weight of a large organisation when capacity is short; a small one has 1. */
    private static final int LARGE_SHARE = 4;

    /** {@code maxAttempts} of a kind that may be retried; any other kind has 1. */
    private static final int MAX_ATTEMPTS = 3;

    private static final int MILLIS_PER_SECOND = 1000;

    private final AnswersDocument answers;
    private final CommentedJson json = new CommentedJson();

    private DeploymentGenerator(AnswersDocument answers) {
        this.answers = answers;
    }

    /**
     * Generates the document.
     *
     * @param source name of the answers for error messages
     * @throws ConfigException if answers contradict each other, or the generated document is not accepted
     */
    static String generate(String source, AnswersDocument answers) throws ConfigException {
        List<ConfigException.Fault> contradictions = Contradictions.find(answers);
        if (!contradictions.isEmpty()) {
            throw new ConfigException(source, contradictions);
        }
        String document = new DeploymentGenerator(answers).writeDocument();
        ConfigReader.read("document generated from " + source, document.getBytes(StandardCharsets.UTF_8));
        return document;
    }

    private String writeDocument() {
        json.beginObject(null);
        json.value("deployment", answers.getDeployment(), "answer: deployment");
        json.value("version", answers.getVersion(), "answer: version");
        json.value("entryCount", answers.getEntryInstances(), "answer: entryInstances");
        json.beginArray("organisations");
        for (int i = 0; i < answers.getCallers().size(); i++) {
            writeOrganisation(answers.getCallers().get(i), "answer: callers/" + i + "/");
        }
        json.end();
        json.beginArray("kinds");
        for (int i = 0; i < answers.getWork().size(); i++) {
            writeKind(answers.getWork().get(i), "answer: work/" + i + "/");
        }
        json.end();
        json.beginArray("targets");
        for (int i = 0; i < answers.getTargets().size(); i++) {
            writeTarget(answers.getTargets().get(i), "answer: targets/" + i + "/");
        }
        json.end();
        json.beginObject("weightStore");
        json.value("loadsPerMinute", answers.getModelLoadsPerMinute(), "answer: modelLoadsPerMinute");
        json.end();
        return json.end().toString();
    }

    private void writeOrganisation(CallerAnswers caller, String originPrefix) {
        boolean large = caller.getSize() == CallerAnswers.Size.LARGE;
        json.beginObject(null);
        json.value("id", caller.getOrganisation(), originPrefix + "organisation");
        json.value("credentialSha256", caller.getCredentialSha256(), originPrefix + "credentialSha256");
        json.value(
                "share",
                large ? LARGE_SHARE : 1,
                originPrefix + "size = " + caller.getSize().value());
        json.value("requestsPerSecond", caller.getMostRequestsPerSecond(), originPrefix + "mostRequestsPerSecond");
        json.value("maxStreams", caller.getMostAtOnce(), originPrefix + "mostAtOnce");
        if (caller.getUsualWork() != null) {
            json.value("defaultKind", caller.getUsualWork(), originPrefix + "usualWork");
        }
        json.end();
    }

    private void writeKind(WorkAnswers work, String originPrefix) {
        if (work.getHarm() != null) {
            json.comment(work.getHarm());
        }
        boolean servedByEngine = work.getServedBy() == WorkAnswers.ServedBy.ENGINE;
        boolean repeatable = work.getIfDoubled() == WorkAnswers.IfDoubled.NOTHING;
        boolean retried = repeatable && !Boolean.FALSE.equals(work.getMayRetry());
        json.beginObject(null);
        json.value("name", work.getName(), originPrefix + "name");
        json.value("runsOn", work.getServedBy().value(), originPrefix + "servedBy");
        if (servedByEngine) {
            json.value("model", work.getModel(), originPrefix + "model");
            if (work.getAdapter() != null) {
                json.value("adapter", work.getAdapter(), originPrefix + "adapter");
            }
        }
        boolean urgent = work.getWaiting() == WorkAnswers.Waiting.AT_ONCE;
        json.value(
                "urgency",
                urgent ? "urgent" : "patient",
                originPrefix + "waiting = " + work.getWaiting().value());
        json.value("value", isHighValue(work) ? "high" : "low", valueOrigin(work, originPrefix));
        json.value(
                "repeatable",
                repeatable,
                originPrefix + "ifDoubled = " + work.getIfDoubled().value());
        boolean streamed = servedByEngine && work.getShownAsItGrows();
        json.value(
                "delivery",
                streamed ? "stream" : "whole",
                originPrefix + "shownAsItGrows = " + work.getShownAsItGrows());
        json.value(
                "deadlineMs",
                Math.round(work.getLongestWaitSeconds() * MILLIS_PER_SECOND),
                originPrefix + "longestWaitSeconds");
        if (servedByEngine && work.getLongestTokens() != null) {
            json.value("maxTokens", work.getLongestTokens(), originPrefix + "longestTokens");
        }
        if (servedByEngine && work.getUsualTokens() != null) {
            json.value("typicalTokens", work.getUsualTokens(), originPrefix + "usualTokens");
        }
        String maxAttemptsAnswer = work.getMayRetry() == null ? "ifDoubled" : "mayRetry = " + work.getMayRetry();
        json.value("maxAttempts", retried ? MAX_ATTEMPTS : 1, originPrefix + maxAttemptsAnswer);
        json.end();
    }

    private static boolean isHighValue(WorkAnswers work) {
        return work.getIfLate() == WorkAnswers.IfLate.LOT
                || work.getIfLost() == WorkAnswers.IfLost.LOT
                || work.getIfDoubled() == WorkAnswers.IfDoubled.LOT;
    }

    private static String valueOrigin(WorkAnswers work, String originPrefix) {
        return "%sifLate = %s, ifLost = %s, ifDoubled = %s"
                .formatted(
                        originPrefix,
                        work.getIfLate().value(),
                        work.getIfLost().value(),
                        work.getIfDoubled().value());
    }

    private void writeTarget(TargetAnswers target, String originPrefix) {
        json.beginObject(null);
        json.value("id", target.getId(), originPrefix + "id");
        json.value("type", target.getType().value(), originPrefix + "type");
        json.value("host", target.getHost(), originPrefix + "host");
        json.value("port", target.getPort(), originPrefix + "port");
        json.value("failureDomain", target.getFailureDomain(), originPrefix + "failureDomain");
        if (!target.getModels().isEmpty()) {
            json.beginArray("models");
            for (int i = 0; i < target.getModels().size(); i++) {
                writeModel(target.getModels().get(i), originPrefix + "models/" + i + "/");
            }
            json.end();
        }
        json.value("checksFence", target.getRefusesOldOrders(), originPrefix + "refusesOldOrders");
        json.value("maxConcurrent", target.getMostAtOnce(), originPrefix + "mostAtOnce");
        json.end();
    }

    private void writeModel(ModelAnswers model, String originPrefix) {
        json.beginObject(null);
        json.value("model", model.getModel(), originPrefix + "model");
        json.value("version", model.getVersion(), originPrefix + "version");
        if (!model.getAdapters().isEmpty()) {
            json.beginArray("adapters");
            model.getAdapters().forEach(adapter -> json.value(null, adapter, originPrefix + "adapters"));
            json.end();
        }
        json.end();
    }
}
