package org.verbenatally.rig;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import io.vertx.core.json.JsonObject;
import org.junit.jupiter.api.Test;
import org.verbenatally.platform.standin.PlatformMessages;
import org.verbenatally.platform.standin.PlatformMessages.Kind;
import org.verbenatally.platform.standin.RawMessage;

import static org.assertj.core.api.Assertions.assertThat;

class RigCheckerTest {
    private static final String ID = "c1r1";

    private final RunHistory history = new RunHistory();
    private final List<JsonObject> breaches = new ArrayList<>();
    private final RigChecker checker = new RigChecker(history, breaches::add);

    private static Answer answer(String id, String stamp, int status, boolean notRun) {
        List<String> headers = PlatformMessages.responseHeaders(Optional.of(id), stamp, notRun);
        byte[] body = (id + stamp).getBytes(StandardCharsets.US_ASCII);
        return new Answer(id, stamp, status, notRun, true, Answer.Framing.LENGTH, headers, body, Duration.ZERO);
    }

    private Answer run(String id, String stamp, int status, boolean notRun) {
        Answer answer = answer(id, stamp, status, notRun);
        add(answer);
        return answer;
    }

    private void add(Answer answer) {
        var connection = new TargetConnection("target#1", null, history::millis);
        history.add(new TargetRun("target", connection, 0, false, answer, List.of(), true));
    }

    private void respond(int status, Answer answer, String body) {
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        answer.headers().forEach(line -> headers.put(line.split(": ")[0], line.split(": ")[1]));
        var response =
                new RawMessage("HTTP/1.1 " + status + " X", headers, body.getBytes(StandardCharsets.US_ASCII), true);
        check(Optional.of(response));
    }

    private void check(Optional<RawMessage> response) {
        checker.check(new CallerResult(ID, Kind.BOOKING, "instance", 0, response, false));
    }

    private List<String> rules() {
        return breaches.stream().map(breach -> breach.getString("rule")).toList();
    }

    /** Guards against a checker that reports what is right. */
    @Test
    void targetsOwnAnswerIsNoBreach() {
        respond(500, run(ID, "s1", 500, false), ID + "s1");
        assertThat(rules()).isEmpty();
    }

    /** Guards against a failure that is passed on as a success and is not seen. */
    @Test
    void successForFailureIsMixed() {
        respond(200, run(ID, "s1", 500, false), ID + "s1");
        assertThat(rules()).containsExactly("MIXED");
    }

    /** Guards against a body that is not whole, or an answer to another request, and is not seen. */
    @Test
    void foreignOrShortAnswerIsMixed() {
        respond(200, run(ID, "s1", 200, false), ID);
        respond(200, run("c2r2", "s2", 200, false), "c2r2s2");
        assertThat(rules()).containsExactly("MIXED", "MIXED");
    }

    /** Guards against a status that HTTP does not define and is not seen. */
    @Test
    void undefinedStatusIsMixed() {
        respond(600, run(ID, "s1", 600, false), ID + "s1");
        assertThat(rules()).containsExactly("MIXED");
    }

    /** Guards against a malformed head that is passed on and is not seen. */
    @Test
    void malformedHeadIsMixed() {
        Answer answer = answer(ID, "s1", 200, false).withHeader("Bad Name: v", 0);
        add(answer);
        respond(200, answer, ID + "s1");
        assertThat(rules()).containsExactly("MIXED");
    }

    /** Guards against an interim response that is taken for the final one. */
    @Test
    void interimResponseIsMixed() {
        check(Optional.of(new RawMessage("HTTP/1.1 102 Processing", Map.of(), new byte[0], true)));
        assertThat(rules()).containsExactly("MIXED");
    }

    /** Guards against a second run, a refusal of what has run, and a lost answer that are not seen. */
    @Test
    void secondRunRefusalAndLossAreSeen() {
        run(ID, "s1", 500, false);
        check(Optional.empty());
        check(Optional.of(new RawMessage("HTTP/1.1 503 X", Map.of(), new byte[0], true)));
        run(ID, "s2", 503, true);
        check(Optional.of(new RawMessage("HTTP/1.1 502 X", Map.of(), new byte[0], true)));
        run(ID, "s3", 200, false);
        check(Optional.of(new RawMessage("HTTP/1.1 502 X", Map.of(), new byte[0], true)));
        assertThat(rules()).containsExactly("LOST", "REFUSED", "TWICE");
    }
}
