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

/** Finds answers that cannot both hold. Each fault names the two answers. */
final class Contradictions {

    /**
     * Two answers about one piece of work that cannot both hold.
     *
     * @param applies whether they are given
     * @param field the second of the two answers
     * @param text the first answer and the reason
     */
    private record Rule(Predicate<WorkAnswers> applies, String field, String text) {}

    private static final List<Rule> WORK_RULES = List.of(
            new Rule(
                    w -> mustNotRepeat(w) && Boolean.TRUE.equals(w.getMayRetry()),
                    "mayRetry",
                    "ifDoubled says that doing the work twice does harm, so mayRetry must be false"),
            new Rule(
                    w -> mustNotRepeat(w) && isEngine(w),
                    "servedBy",
                    "ifDoubled says that doing the work twice does harm; only plain services run work at most once,"
                            + " so servedBy must be service"),
            new Rule(
                    w -> isEngine(w) && w.getModel() == null,
                    "model",
                    "servedBy is engine, so model must name the model"),
            new Rule(
                    w -> !isEngine(w) && w.getModel() != null, "model", "servedBy is service, so model must be absent"),
            new Rule(
                    w -> !isEngine(w) && w.getShownAsItGrows(),
                    "shownAsItGrows",
                    "servedBy is service, whose answers arrive as a whole, so shownAsItGrows must be false"),
            new Rule(
                    w -> w.getUsualTokens() != null
                            && w.getLongestTokens() != null
                            && w.getUsualTokens() > w.getLongestTokens(),
                    "usualTokens",
                    "usualTokens must not be above longestTokens"));

    private Contradictions() {}

    /** Returns all contradictions in the order of the answers. */
    static List<Fault> in(AnswersDocument answers) {
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
        String place = "/work/" + index + "/";
        WORK_RULES.stream()
                .filter(rule -> rule.applies().test(work))
                .forEach(rule -> faults.add(new Fault(0, place + rule.field(), work.getName() + ": " + rule.text())));
        if (answers.getTargets().stream().noneMatch(target -> serves(target, work))) {
            String wanted = isEngine(work) ? "an engine with model " + work.getModel() : "a plain service";
            faults.add(new Fault(
                    0, place + "servedBy", work.getName() + ": needs " + wanted + ", but targets names none"));
        }
    }

    private static Optional<Fault> checkUsualWork(CallerAnswers caller, Map<String, WorkAnswers> work, String field) {
        if (caller.getUsualWork() == null) {
            return Optional.empty();
        }
        WorkAnswers usual = work.get(caller.getUsualWork());
        if (usual == null) {
            return Optional.of(new Fault(0, field, "names " + caller.getUsualWork() + ", which work does not list"));
        }
        return isEngine(usual)
                ? Optional.empty()
                : Optional.of(new Fault(0, field, "names " + usual.getName() + ", whose servedBy is not engine"));
    }

    private static boolean serves(TargetAnswers target, WorkAnswers work) {
        if (!isEngine(work)) {
            return target.getType() == TargetAnswers.Type.SERVICE;
        }
        return target.getType() == TargetAnswers.Type.ENGINE
                && target.getModels().stream()
                        .anyMatch(model -> model.getModel().equals(work.getModel()));
    }

    private static boolean mustNotRepeat(WorkAnswers work) {
        return work.getIfDoubled() != WorkAnswers.IfDoubled.NOTHING;
    }

    private static boolean isEngine(WorkAnswers work) {
        return work.getServedBy() == WorkAnswers.ServedBy.ENGINE;
    }
}
