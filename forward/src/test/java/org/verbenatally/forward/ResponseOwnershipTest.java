package org.verbenatally.forward;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;

import static org.assertj.core.api.Assertions.assertThat;

/** Sequences of requests to one target that repeats, cuts, delays and mislabels its responses. */
class ResponseOwnershipTest {
    private static final String MARK = "served ";
    /** A caller's timeout, around which late responses arrive. */
    private static final int TIMEOUT_MS = 80;

    private static final long BOUND_SECONDS = 20;
    private static final AtomicInteger IDS = new AtomicInteger();

    private static ForwardFixture fixture;

    /** How the response of a step is written. */
    enum Manner {
        SOUND,
        REPEATED_AT_ONCE,
        CUT_REPEAT_AT_ONCE,
        AFTER_REPEAT_OF_PREVIOUS,
        AFTER_CUT_REPEAT_OF_PREVIOUS,
        AT_THE_TIMEOUT,
        WITHOUT_LENGTH,
        BROKEN_OFF
    }

    /** What the response of a step says. */
    enum Answer {
        SUCCESS,
        FAILURE,
        FAILURE_WITHOUT_ID,
        REFUSAL,
        REFUSAL_WITHOUT_ID
    }

    /**
     * One request.
     *
     * @param path path, which selects the route
     * @param cut number of bytes after which a response is cut
     */
    record Step(String path, Answer answer, Manner manner, int cut) {}

    /** What the target did with a request. */
    private record Run(Step step, AtomicInteger begun) {}

    @BeforeContainer
    static void start() throws Exception {
        fixture = new ForwardFixture();
        fixture.configure(1);
    }

    @AfterContainer
    static void stop() {
        fixture.close();
    }

    @Provide
    Arbitrary<List<Step>> sequences() {
        return Combinators.combine(
                        Arbitraries.of("/once/x", "/repeat/x"),
                        Arbitraries.of(Answer.class),
                        Arbitraries.of(Manner.class),
                        Arbitraries.integers().between(1, 110))
                .as(Step::new)
                .list()
                .ofMinSize(2)
                .ofMaxSize(8);
    }

    private static String response(String id, Answer answer, boolean hasLength) {
        String body = answer == Answer.SUCCESS ? MARK + id : "no";
        boolean statesId = answer != Answer.FAILURE_WITHOUT_ID && answer != Answer.REFUSAL_WITHOUT_ID;
        return "HTTP/1.1 " + status(answer) + " Reason\r\nContent-Type: text/plain\r\n"
                + (statesId ? TestCodec.ID + ": " + id + "\r\n" : "")
                + (isRefusal(answer) ? TestCodec.NOT_RUN + ": yes\r\n" : "")
                + TestCodec.SIGNED + ": yes\r\n"
                + (hasLength ? "Content-Length: " + body.length() + "\r\n" : "") + "\r\n" + body;
    }

    private static int status(Answer answer) {
        return switch (answer) {
            case SUCCESS -> 200;
            case FAILURE, FAILURE_WITHOUT_ID -> 500;
            case REFUSAL, REFUSAL_WITHOUT_ID -> 503;
        };
    }

    private static boolean isRefusal(Answer answer) {
        return answer == Answer.REFUSAL || answer == Answer.REFUSAL_WITHOUT_ID;
    }

    private static boolean respond(Step step, String id, String previous, OutputStream out, Socket socket)
            throws IOException, InterruptedException {
        String response = response(id, step.answer(), step.manner() != Manner.WITHOUT_LENGTH);
        String cut = response.substring(0, Math.min(step.cut(), response.length()));
        switch (step.manner()) {
            case REPEATED_AT_ONCE -> RawTarget.write(out, response + response);
            case CUT_REPEAT_AT_ONCE -> RawTarget.write(out, response + cut);
            case AFTER_REPEAT_OF_PREVIOUS -> RawTarget.write(out, previous + response);
            case AFTER_CUT_REPEAT_OF_PREVIOUS ->
                RawTarget.write(out, previous.substring(0, Math.min(step.cut(), previous.length())) + response);
            case AT_THE_TIMEOUT -> {
                TimeUnit.MILLISECONDS.sleep(TIMEOUT_MS - 5 + step.cut() % 10);
                RawTarget.write(out, response);
            }
            case BROKEN_OFF -> RawTarget.write(out, cut);
            default -> RawTarget.write(out, response);
        }
        if (step.manner() == Manner.BROKEN_OFF) {
            RawTarget.reset(socket);
        }
        return step.manner() != Manner.WITHOUT_LENGTH && step.manner() != Manner.BROKEN_OFF;
    }

    /**
     * Guards against a response that ends the exchange of another request, a success or a refusal in the place of
     * another answer, and requests that run twice, whatever is left behind on a connection.
     */
    @Property(tries = 120, seed = "38", shrinking = ShrinkingMode.OFF)
    void noResponseIsTakenForThatOfAnotherRequest(@ForAll("sequences") List<Step> steps) throws Exception {
        Map<String, Run> runs = new ConcurrentHashMap<>();
        Map<Object, String> previous = new ConcurrentHashMap<>();
        RawTarget.Script script = (head, out, socket) -> {
            String id = RawTarget.header(head, TestCodec.ID);
            Run run = runs.get(id);
            run.begun().addAndGet(isRefusal(run.step().answer()) ? 0 : 1);
            String left = previous.getOrDefault(socket, "");
            previous.put(socket, response(id, run.step().answer(), true));
            return respond(run.step(), id, left, out, socket);
        };
        String name = "t" + IDS.incrementAndGet();
        try (RawTarget first = new RawTarget(script);
                RawTarget second = new RawTarget(script)) {
            fixture.publish(name + "a", ForwardFixture.CALLS, first);
            fixture.publish(name + "b", ForwardFixture.CALLS, second);
            for (Step step : steps) {
                String id = "r" + IDS.incrementAndGet();
                Run run = new Run(step, new AtomicInteger());
                runs.put(id, run);
                check(id, run, send(id, step));
            }
            fixture.leave(name + "a");
            fixture.leave(name + "b");
        }
    }

    private static HttpResponse<String> send(String id, Step step) throws Exception {
        CompletableFuture<HttpResponse<String>> response = fixture.sendLater(fixture.request(step.path(), id)
                .setHeader(TestCodec.CALLER_TIMEOUT, Integer.toString(TIMEOUT_MS))
                .build());
        return response.get(BOUND_SECONDS, TimeUnit.SECONDS);
    }

    private static void check(String id, Run run, HttpResponse<String> response) {
        if (response.statusCode() == 200) {
            assertThat(run.step().answer()).as("answer of the target to %s", id).isEqualTo(Answer.SUCCESS);
            assertThat(response.body()).isEqualTo(MARK + id);
        }
        if (response.headers().firstValue(TestCodec.SIGNED).isPresent()) {
            assertThat(response.statusCode())
                    .as("status of %s", id)
                    .isEqualTo(status(run.step().answer()));
            assertThat(response.headers().firstValue(TestCodec.ID).orElse(id)).isEqualTo(id);
        }
        if (run.step().path().startsWith("/once")) {
            assertThat(run.begun()).as("runs of %s", id).hasValueLessThanOrEqualTo(1);
            if (response.statusCode() == 503) {
                assertThat(run.begun()).as("runs of %s, refused", id).hasValue(0);
            }
        }
    }
}
