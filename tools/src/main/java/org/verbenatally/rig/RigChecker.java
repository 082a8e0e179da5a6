package org.verbenatally.rig;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.verbenatally.platform.standin.PlatformMessages;
import org.verbenatally.platform.standin.PlatformMessages.Kind;
import org.verbenatally.platform.standin.RawMessage;

/** Compares what callers got with what targets sent. Results may be added by any thread. */
final class RigChecker {
    private static final List<Integer> REFUSALS = List.of(408, 421, 429, 503);
    private static final int LAST_DEFINED = 599;

    private final RunHistory history;
    private final Consumer<JsonObject> record;
    private final Map<String, Integer> counts = new TreeMap<>();
    private final Map<Integer, Integer> statuses = new TreeMap<>();
    private final PauseChecker pauses = new PauseChecker();
    private int breaches;

    /** A rule that was broken, and how. */
    private record Breach(String rule, String sort) {}

    RigChecker(RunHistory history, Consumer<JsonObject> record) {
        this.history = history;
        this.record = record;
    }

    /** Checks one result. Runs that begin later are not seen. */
    synchronized void check(CallerResult result) {
        statuses.merge(result.status(), 1, Integer::sum);
        List<TargetRun> runs = history.of(result.id());
        runs.forEach(run -> pauses.add(result.instance(), run));
        mixed(result, runs).ifPresent(breach -> add(breach, result, runs));
        refused(result, runs).ifPresent(breach -> add(breach, result, runs));
        lost(result, runs).ifPresent(breach -> add(breach, result, runs));
        twice(result, runs).ifPresent(breach -> add(breach, result, runs));
    }

    private Optional<Breach> mixed(CallerResult result, List<TargetRun> runs) {
        if (result.response().isEmpty()) {
            return Optional.empty();
        }
        RawMessage response = result.response().get();
        boolean success = result.status() >= 200 && result.status() < 300;
        if (result.status() < 200) {
            return mixed(result.status() == 0 ? "bytes that are no response" : "interim response as the final one");
        }
        if (result.status() > LAST_DEFINED) {
            return mixed("status that is not defined");
        }
        Optional<String> stamp = PlatformMessages.stamp(response);
        if (PlatformMessages.requestId(response)
                .filter(id -> !id.equals(result.id()))
                .isPresent()) {
            return mixed("response with the id of another request");
        }
        if (stamp.isEmpty()) {
            return success ? mixed("success without a stamp") : Optional.empty();
        }
        Optional<TargetRun> run = history.withStamp(stamp.get());
        if (run.isEmpty()) {
            return mixed("unknown stamp");
        }
        Answer answer = run.get().answer();
        if (!answer.requestId().equals(result.id())) {
            return mixed("response to another request");
        }
        if (answer.isMalformed()) {
            return mixed("response with a malformed field name");
        }
        if (answer.status() != result.status()) {
            return mixed(
                    success
                            ? "success in the place of a failure"
                            : "failure " + result.status() + " for " + answer.status());
        }
        if (response.complete() && !isWhole(result, response, answer, runs)) {
            return mixed("body is not the target's");
        }
        return Optional.empty();
    }

    private static Optional<Breach> mixed(String sort) {
        return Optional.of(new Breach("MIXED", sort));
    }

    private static boolean isWhole(CallerResult result, RawMessage response, Answer answer, List<TargetRun> runs) {
        boolean stream = result.kind() == Kind.STREAM && answer.isSuccess();
        if (stream && runs.size() > 1) {
            // Each segment may come from another run.
            return Arrays.equals(response.body(), Answer.events(result.id(), 0));
        }
        return Arrays.equals(response.body(), answer.body());
    }

    private static Optional<Breach> refused(CallerResult result, List<TargetRun> runs) {
        boolean broken = !result.kind().mayRepeat()
                && REFUSALS.contains(result.status())
                && runs.stream().anyMatch(TargetRun::hasRun);
        return broken ? Optional.of(new Breach("REFUSED", "status " + result.status())) : Optional.empty();
    }

    private static Optional<Breach> lost(CallerResult result, List<TargetRun> runs) {
        boolean unanswered =
                result.response().isEmpty() || !result.response().get().complete();
        boolean broken = unanswered
                && !result.disturbed()
                && !runs.isEmpty()
                && runs.stream().allMatch(TargetRun::sound);
        return broken
                ? Optional.of(new Breach("LOST", result.response().isEmpty() ? "closed" : "cut"))
                : Optional.empty();
    }

    private static Optional<Breach> twice(CallerResult result, List<TargetRun> runs) {
        long started =
                runs.stream().filter(run -> run.hasRun() && !run.continued()).count();
        return !result.kind().mayRepeat() && started > 1
                ? Optional.of(new Breach("TWICE", started + " runs"))
                : Optional.empty();
    }

    private void add(Breach breach, CallerResult result, List<TargetRun> runs) {
        breaches++;
        counts.merge(breach.rule() + ": " + breach.sort() + "; " + preceding(result, runs), 1, Integer::sum);
        JsonArray list = new JsonArray();
        for (TargetRun run : runs) {
            list.add(new JsonObject()
                    .put("target", run.target())
                    .put("connection", run.connection().toString())
                    .put("ms", run.millis())
                    .put("status", run.answer().status())
                    .put("notRun", run.answer().notRun())
                    .put("stamp", run.answer().stamp())
                    .put("preceding", new JsonArray(run.preceding()))
                    .put("wire", new JsonArray(run.connection().transcript())));
        }
        record.accept(new JsonObject()
                .put("rule", breach.rule())
                .put("sort", breach.sort())
                .put("request", result.id())
                .put("kind", result.kind().name())
                .put("instance", result.instance())
                .put("ms", result.millis())
                .put("status", result.status())
                .put(
                        "headers",
                        result.response().map(r -> r.headers().toString()).orElse(""))
                .put("bodyBytes", result.response().map(r -> r.body().length).orElse(0))
                .put("complete", result.response().map(RawMessage::complete).orElse(false))
                .put("runs", list));
    }

    /** Returns what preceded the answer that the caller got, or the answers of all runs if it got none of them. */
    private static String preceding(CallerResult result, List<TargetRun> runs) {
        Optional<String> stamp = result.response().flatMap(PlatformMessages::stamp);
        List<TargetRun> passedOn = runs.stream()
                .filter(run -> stamp.filter(run.answer().stamp()::equals).isPresent())
                .toList();
        String text = (passedOn.isEmpty() ? runs : passedOn)
                .stream().flatMap(run -> run.preceding().stream()).distinct().collect(Collectors.joining(" + "));
        return text.isEmpty() ? "nothing before" : text;
    }

    synchronized int breaches() {
        return breaches;
    }

    /** Checks what only all results together show; instances that were suspended or stopped are excused. */
    synchronized void checkPauses() {
        long broken = pauses.breaches();
        if (broken > 0) {
            breaches += (int) broken;
            counts.merge("BUDGET: requests to a target in the pause that it asked for", (int) broken, Integer::sum);
        }
    }

    /** Returns one line for each status that callers got, and one for each sort of breach. */
    synchronized String summary() {
        StringBuilder text = new StringBuilder("statuses of callers (0: closed): " + statuses + "\n");
        counts.forEach(
                (sort, count) -> text.append(count).append(" x ").append(sort).append('\n'));
        return text.append(breaches).append(" breaches").toString();
    }
}
