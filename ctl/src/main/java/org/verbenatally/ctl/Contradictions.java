package org.verbenatally.ctl;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import org.verbenatally.config.ConfigException.Fault;
import org.verbenatally.settings.AnswersDocument;
import org.verbenatally.settings.CallerAnswers;
import org.verbenatally.settings.TargetAnswers;
import org.verbenatally.settings.WorkAnswers;

/** Finds answers that contradict each other. Each fault names both answers. */
final class Contradictions {

    /**
     * Two answers about the same work that contradict each other.
     *
     * @param violated whether both answers are given
     * @param field name of the second answer
     * @param message the first answer and the reason
     */
    private record Rule(Predicate<WorkAnswers> violated, String field, String message) {}

    private static final List<Rule> WORK_RULES = List.of(
            new Rule(
                    w -> isNotRepeatable(w) && Boolean.TRUE.equals(w.getMayRetry()),
                    "mayRetry",
                    "ifDoubled says that doing the work twice does harm, so mayRetry must be false"),
            new Rule(
                    w -> isNotRepeatable(w) && isServedByEngine(w),
                    "servedBy",
                    "ifDoubled says that doing the work twice does harm; only plain services run work at most once,"
                            + " so servedBy must be service"),
            new Rule(
                    w -> isServedByEngine(w) && w.getModel() == null,
                    "model",
                    "servedBy is engine, so model must name the model"),
            new Rule(
                    w -> !isServedByEngine(w) && w.getModel() != null,
                    "model",
                    "servedBy is service, so model must be absent"),
            new Rule(
                    w -> !isServedByEngine(w) && w.getShownAsItGrows(),
                    "shownAsItGrows",
                    "servedBy is service, whose responses are not streamed, so shownAsItGrows must be false"),
            new Rule(
                    w -> w.getUsualTokens() != null
                            && w.getLongestTokens() != null
                            && w.getUsualTokens() > w.getLongestTokens(),
                    "usualTokens",
                    "usualTokens must not be above longestTokens"));

    private Contradictions() {}

    /** Returns all contradictions in the order of the answers. */
    static List<Fault> find(AnswersDocument answers) {
        List<Fault> faults = new ArrayList<>();
        for (int i = 0; i < answers.getWork().size(); i++) {
            checkWork(answers, i, faults);
        }
        Map<String, WorkAnswers> work = answers.getWork().stream()
                .collect(Collectors.toMap(WorkAnswers::getName, Function.identity(), (a, b) -> a));
        for (int i = 0; i < answers.getCallers().size(); i++) {
            checkUsualWork(answers.getCallers().get(i), work, "/callers/" + i + "/usualWork")
                    .ifPresent(faults::add);
        }
        return faults;
    }

    private static void checkWork(AnswersDocument answers, int index, List<Fault> faults) {
        WorkAnswers work = answers.getWork().get(index);
        String pointerPrefix = "/work/" + index + "/";
        WORK_RULES.stream()
                .filter(rule -> rule.violated().test(work))
                .forEach(rule ->
                        faults.add(new Fault(0, pointerPrefix + rule.field(), work.getName() + ": " + rule.message())));
        if (answers.getTargets().stream().noneMatch(target -> canServe(target, work))) {
            String needed = isServedByEngine(work) ? "an engine with model " + work.getModel() : "a plain service";
            faults.add(new Fault(
                    0, pointerPrefix + "servedBy", work.getName() + ": needs " + needed + ", but targets lists none"));
        }
    }

    private static Optional<Fault> checkUsualWork(CallerAnswers caller, Map<String, WorkAnswers> work, String field) {
        if (caller.getUsualWork() == null) {
            return Optional.empty();
        }
        WorkAnswers usualWork = work.get(caller.getUsualWork());
        if (usualWork == null) {
            return Optional.of(new Fault(0, field, "names " + caller.getUsualWork() + ", which is not listed in work"));
        }
        return isServedByEngine(usualWork)
                ? Optional.empty()
                : Optional.of(new Fault(0, field, "names " + usualWork.getName() + ", whose servedBy is not engine"));
    }

    private static boolean canServe(TargetAnswers target, WorkAnswers work) {
        if (!isServedByEngine(work)) {
            return target.getType() == TargetAnswers.Type.SERVICE;
        }
        return target.getType() == TargetAnswers.Type.ENGINE
                && target.getModels().stream()
                        .anyMatch(model -> model.getModel().equals(work.getModel()));
    }

    private static boolean isNotRepeatable(WorkAnswers work) {
        return work.getIfDoubled() != WorkAnswers.IfDoubled.NOTHING;
    }

    private static boolean isServedByEngine(WorkAnswers work) {
        return work.getServedBy() == WorkAnswers.ServedBy.ENGINE;
    }
}
