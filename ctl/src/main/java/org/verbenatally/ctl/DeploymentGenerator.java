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
 * Generates a deployment document from answers to the questionnaire. The same answers give the same bytes, and each
 * generated value carries a comment that names the answer it came from.
 */
final class DeploymentGenerator {
    /** Weight of a large organisation when capacity is short; a small one has 1. */
    private static final int LARGE_SHARE = 4;

    private static final int REPEATABLE_ATTEMPTS = 3;
    private static final int MILLIS = 1000;

    private final AnswersDocument answers;
    private final CommentedJson json = new CommentedJson();

    private DeploymentGenerator(AnswersDocument answers) {
        this.answers = answers;
    }

    /**
     * Generates the document.
     *
     * @param source name of the answers for error messages
     * @throws ConfigException if answers contradict each other, or the document they give is not accepted
     */
    static String generate(String source, AnswersDocument answers) throws ConfigException {
        List<ConfigException.Fault> contradictions = Contradictions.in(answers);
        if (!contradictions.isEmpty()) {
            throw new ConfigException(source, contradictions);
        }
        String document = new DeploymentGenerator(answers).write();
        ConfigReader.read("document generated from " + source, document.getBytes(StandardCharsets.UTF_8));
        return document;
    }

    private String write() {
        json.object(null);
        json.value("deployment", answers.getDeployment(), "answer: deployment");
        json.value("version", answers.getVersion(), "answer: version");
        json.value("entryCount", answers.getEntryInstances(), "answer: entryInstances");
        json.array("organisations");
        for (int i = 0; i < answers.getCallers().size(); i++) {
            organisation(answers.getCallers().get(i), "answer: callers/" + i + "/");
        }
        json.end();
        json.array("kinds");
        for (int i = 0; i < answers.getWork().size(); i++) {
            kind(answers.getWork().get(i), "answer: work/" + i + "/");
        }
        json.end();
        json.array("targets");
        for (int i = 0; i < answers.getTargets().size(); i++) {
            target(answers.getTargets().get(i), "answer: targets/" + i + "/");
        }
        json.end();
        json.object("weightStore");
        json.value("loadsPerMinute", answers.getModelLoadsPerMinute(), "answer: modelLoadsPerMinute");
        json.end();
        return json.end().toString();
    }

    private void organisation(CallerAnswers caller, String from) {
        boolean large = caller.getSize() == CallerAnswers.Size.LARGE;
        json.object(null);
        json.value("id", caller.getOrganisation(), from + "organisation");
        json.value("credentialSha256", caller.getCredentialSha256(), from + "credentialSha256");
        json.value(
                "share",
                large ? LARGE_SHARE : 1,
                from + "size = " + caller.getSize().value());
        json.value("requestsPerSecond", caller.getMostRequestsPerSecond(), from + "mostRequestsPerSecond");
        json.value("maxStreams", caller.getMostAtOnce(), from + "mostAtOnce");
        if (caller.getUsualWork() != null) {
            json.value("defaultKind", caller.getUsualWork(), from + "usualWork");
        }
        json.end();
    }

    private void kind(WorkAnswers work, String from) {
        if (work.getHarm() != null) {
            json.comment(work.getHarm());
        }
        boolean engine = work.getServedBy() == WorkAnswers.ServedBy.ENGINE;
        boolean repeatable = work.getIfDoubled() == WorkAnswers.IfDoubled.NOTHING;
        boolean retried = repeatable && !Boolean.FALSE.equals(work.getMayRetry());
        json.object(null);
        json.value("name", work.getName(), from + "name");
        json.value("runsOn", work.getServedBy().value(), from + "servedBy");
        if (engine) {
            json.value("model", work.getModel(), from + "model");
            if (work.getAdapter() != null) {
                json.value("adapter", work.getAdapter(), from + "adapter");
            }
        }
        boolean urgent = work.getWaiting() == WorkAnswers.Waiting.AT_ONCE;
        json.value(
                "urgency",
                urgent ? "urgent" : "patient",
                from + "waiting = " + work.getWaiting().value());
        json.value("value", isCostly(work) ? "high" : "low", costSource(work, from));
        json.value(
                "repeatable",
                repeatable,
                from + "ifDoubled = " + work.getIfDoubled().value());
        boolean streamed = engine && work.getShownAsItGrows();
        json.value("delivery", streamed ? "stream" : "whole", from + "shownAsItGrows = " + work.getShownAsItGrows());
        json.value("deadlineMs", Math.round(work.getLongestWaitSeconds() * MILLIS), from + "longestWaitSeconds");
        if (engine && work.getLongestTokens() != null) {
            json.value("maxTokens", work.getLongestTokens(), from + "longestTokens");
        }
        if (engine && work.getUsualTokens() != null) {
            json.value("typicalTokens", work.getUsualTokens(), from + "usualTokens");
        }
        String retrySource = work.getMayRetry() == null ? "ifDoubled" : "mayRetry = " + work.getMayRetry();
        json.value("maxAttempts", retried ? REPEATABLE_ATTEMPTS : 1, from + retrySource);
        json.end();
    }

    private static boolean isCostly(WorkAnswers work) {
        return work.getIfLate() == WorkAnswers.IfLate.LOT
                || work.getIfLost() == WorkAnswers.IfLost.LOT
                || work.getIfDoubled() == WorkAnswers.IfDoubled.LOT;
    }

    private static String costSource(WorkAnswers work, String from) {
        return "%sifLate = %s, ifLost = %s, ifDoubled = %s"
                .formatted(
                        from,
                        work.getIfLate().value(),
                        work.getIfLost().value(),
                        work.getIfDoubled().value());
    }

    private void target(TargetAnswers target, String from) {
        json.object(null);
        json.value("id", target.getId(), from + "id");
        json.value("type", target.getType().value(), from + "type");
        json.value("host", target.getHost(), from + "host");
        json.value("port", target.getPort(), from + "port");
        json.value("failureDomain", target.getFailureDomain(), from + "failureDomain");
        if (!target.getModels().isEmpty()) {
            json.array("models");
            for (int i = 0; i < target.getModels().size(); i++) {
                model(target.getModels().get(i), from + "models/" + i + "/");
            }
            json.end();
        }
        json.value("checksFence", target.getRefusesOldOrders(), from + "refusesOldOrders");
        json.value("maxConcurrent", target.getMostAtOnce(), from + "mostAtOnce");
        json.end();
    }

    private void model(ModelAnswers model, String from) {
        json.object(null);
        json.value("model", model.getModel(), from + "model");
        json.value("version", model.getVersion(), from + "version");
        if (!model.getAdapters().isEmpty()) {
            json.array("adapters");
            model.getAdapters().forEach(adapter -> json.value(null, adapter, from + "adapters"));
            json.end();
        }
        json.end();
    }
}
