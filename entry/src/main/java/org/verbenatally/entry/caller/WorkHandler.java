package org.verbenatally.entry.caller;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.UUID;

import com.dynatrace.hash4j.hashing.Hashing;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import org.verbenatally.config.Deployment;
import org.verbenatally.config.Kind;
import org.verbenatally.config.TargetType;
import org.verbenatally.core.KindName;
import org.verbenatally.core.Outcome;
import org.verbenatally.core.Step;
import org.verbenatally.entry.key.CallResult;
import org.verbenatally.entry.key.CallRunner;
import org.verbenatally.entry.key.KeyedCalls;
import org.verbenatally.entry.operator.Service;
import org.verbenatally.policy.Fingerprint;

/** Handles work, completion and key requests. */
final class WorkHandler {
    private static final int CREATED = 201;
    private static final int BAD_REQUEST = 400;
    private static final int TOO_LARGE = 413;
    private static final int PRECONDITION_REQUIRED = 428;
    private static final int BAD_GATEWAY = 502;
    private static final int UNAVAILABLE = 503;
    /** Leading part of a prompt by which requests that share cached memory are recognised. */
    private static final int PREFIX_CHARS = 1_024;

    private final CallerParts parts;
    private final KeyedCalls keyedCalls;
    private final Vertx vertx;
    private final ServiceCalls services;

    WorkHandler(CallerParts parts, KeyedCalls keyedCalls, Vertx vertx) {
        this.parts = Objects.requireNonNull(parts, "parts");
        this.keyedCalls = Objects.requireNonNull(keyedCalls, "keyedCalls");
        this.vertx = Objects.requireNonNull(vertx, "vertx");
        this.services = new ServiceCalls(parts, vertx.getOrCreateContext());
    }

    void work(Exchange exchange, String kindName) {
        Kind kind = kind(kindName);
        Buffer body = exchange.body(deployment().limits().maxBodyBytes());
        open(exchange, kind);
        if (kind.runsOn() == TargetType.ENGINE) {
            generate(exchange, kind, body);
        } else if (kind.repeatable()) {
            callIdempotent(exchange, kind, body);
        } else {
            callKeyed(exchange, kind, body);
        }
    }

    /** Tells whether a kind of this name needs an idempotency key. */
    boolean needsKey(String kindName) {
        Kind kind = kind(kindName);
        return kind.runsOn() == TargetType.SERVICE && !kind.repeatable();
    }

    private void open(Exchange exchange, Kind kind) {
        exchange.trace(parts.log()
                .open(
                        exchange.id(),
                        exchange.organisation().id().value(),
                        kind.name().value()));
        exchange.note("accepted");
    }

    private Deployment deployment() {
        return parts.config()
                .deployment()
                .orElseThrow(() -> new ProblemException(Problem.refused(
                        UNAVAILABLE, "no-configuration", Step.ACCEPT, "this entry has no configuration yet")));
    }

    private Kind kind(String name) {
        try {
            return Optional.ofNullable(deployment().kinds().get(new KindName(name)))
                    .orElseThrow(CallerHandler::notFound);
        } catch (IllegalArgumentException e) {
            throw CallerHandler.notFound();
        }
    }

    private void generate(Exchange exchange, Kind kind, Buffer body) {
        JsonObject json = json(body);
        Work work = work(exchange, kind, body, text(json, "prompt"), number(json, "maxTokens", kind.maxTokens()));
        boolean stream = flag(json, "stream", kind.delivery() == Kind.Delivery.STREAM);
        String prefer = exchange.request().getHeader("Prefer");
        Answer answer;
        if (prefer != null && prefer.contains("respond-async")) {
            answer = new AsyncAnswer(exchange);
        } else if (stream && kind.delivery() == Kind.Delivery.STREAM) {
            answer = new StreamAnswer(vertx, exchange, false);
        } else {
            answer = new WholeAnswer(
                    exchange,
                    (text, tokens) -> new JsonObject().put("text", text).put("tokens", tokens));
        }
        new EngineRun(parts, vertx, exchange, answer, work).run();
    }

    private Work work(Exchange exchange, Kind kind, Buffer body, String prompt, int maxTokens) {
        byte[] prefix =
                prompt.substring(0, Math.min(PREFIX_CHARS, prompt.length())).getBytes(StandardCharsets.UTF_8);
        return new Work(
                kind,
                exchange.organisation(),
                prompt,
                Math.min(maxTokens, kind.maxTokens()),
                Hashing.komihash5_0().hashBytesToLong(prefix),
                Fingerprint.of(exchange.organisation().id(), kind.name(), body.getBytes()),
                exchange.startNanos(),
                exchange.deadlineNanos(kind.deadline()));
    }

    /** Maps a completion-style request to the organisation's default kind. */
    void completion(Exchange exchange) {
        KindName name = exchange.organisation()
                .defaultKind()
                .orElseThrow(() -> invalid("the organisation has no default kind for completions"));
        Kind kind = kind(name.value());
        if (kind.runsOn() != TargetType.ENGINE) {
            throw invalid("the organisation's default kind does not run on engines");
        }
        Buffer body = exchange.body(deployment().limits().maxBodyBytes());
        open(exchange, kind);
        JsonObject json = json(body);
        String model = kind.model().orElseThrow().value();
        Object asked = json.getValue("model");
        if (asked != null && !asked.equals(model)) {
            throw invalid("model must be " + model);
        }
        Work work = work(exchange, kind, body, text(json, "prompt"), number(json, "max_tokens", kind.maxTokens()));
        Completion form = new Completion(exchange.id(), model);
        Answer answer = flag(json, "stream", false)
                ? new StreamAnswer(vertx, exchange, false, form)
                : new WholeAnswer(exchange, form::whole);
        new EngineRun(parts, vertx, exchange, answer, work).run();
    }

    private void callIdempotent(Exchange exchange, Kind kind, Buffer body) {
        json(body);
        ServiceCalls.Call call = new ServiceCalls.Call(
                kind,
                exchange.organisation(),
                UUID.randomUUID().toString(),
                body,
                exchange.deadlineNanos(kind.deadline()));
        answer(exchange, kind, new IdempotentCall(services, vertx, exchange, call).run());
    }

    private void callKeyed(Exchange exchange, Kind kind, Buffer body) {
        String key = exchange.request().getHeader(Exchange.IDEMPOTENCY_KEY);
        if (key == null) {
            throw new ProblemException(keyRequired(exchange, kind));
        }
        if (body.length() > KeyedCalls.MAX_BODY_BYTES) {
            throw new ProblemException(Problem.refused(
                    TOO_LARGE,
                    "body-too-large",
                    Step.ACCEPT,
                    "the body of a call with a key must be at most " + KeyedCalls.MAX_BODY_BYTES + " bytes"));
        }
        json(body);
        CallResult result = Future.fromCompletionStage(
                        keyedCalls.call(new CallRunner.Call(
                                exchange.id(),
                                exchange.organisation().id(),
                                kind.name(),
                                key,
                                exchange.deadlineNanos(kind.deadline()),
                                body.getBytes())),
                        vertx.getOrCreateContext())
                .await();
        exchange.decidedByOwner();
        answer(exchange, kind, result);
    }

    private Problem keyRequired(Exchange exchange, Kind kind) {
        Problem problem = Problem.refused(
                PRECONDITION_REQUIRED, "key-required", Step.ACCEPT, "the kind needs an Idempotency-Key");
        return keyedCalls
                .issue(exchange.organisation().id(), kind.name())
                .map(key -> problem.with("key", key))
                .orElse(problem);
    }

    private void answer(Exchange exchange, Kind kind, CallResult result) {
        parts.metrics().answered(kind.name(), result.outcome());
        Service service =
                switch (result.outcome()) {
                    case DONE -> Service.MET;
                    case NOT_RUN -> Service.REFUSED;
                    case UNKNOWN -> Service.LOST;
                };
        parts.metrics().budget().count(kind.name(), exchange.organisation().id(), service);
        if (result.outcome() == Outcome.DONE) {
            exchange.note("answered by " + result.peer() + " with status " + result.status());
            exchange.succeed(result.status(), "application/json", Buffer.buffer(result.body()));
            return;
        }
        Step step = result.step().orElse(Step.SEND);
        boolean notRun = result.outcome() == Outcome.NOT_RUN;
        int status = step == Step.ACCEPT ? BAD_REQUEST : notRun || step == Step.FORWARD ? UNAVAILABLE : BAD_GATEWAY;
        String type = step == Step.ACCEPT ? "invalid-key" : notRun ? "not-run" : "outcome-unknown";
        Problem problem = Problem.refused(status, type, step, result.message()).withOutcome(result.outcome());
        throw new ProblemException(
                step == Step.ACCEPT ? problem : problem.at(result.peer()).withRetryAfter(Duration.ofSeconds(1)));
    }

    void issueKey(Exchange exchange, String kindName) {
        Kind kind = kind(kindName);
        String key = keyedCalls
                .issue(exchange.organisation().id(), kind.name())
                .orElseThrow(() -> new ProblemException(
                        Problem.refused(UNAVAILABLE, "no-keys", Step.ADMIT, "this entry issues no keys now")
                                .withRetryAfter(Duration.ofSeconds(1))));
        exchange.succeed(CREATED, new JsonObject().put("key", key));
    }

    private static JsonObject json(Buffer body) {
        try {
            return new JsonObject(body);
        } catch (DecodeException | ClassCastException e) {
            throw invalid("the body must be a JSON object");
        }
    }

    private static String text(JsonObject json, String field) {
        if (json.getValue(field) instanceof String text) {
            return text;
        }
        throw invalid(field + " must be a text");
    }

    private static int number(JsonObject json, String field, int fallback) {
        Object value = json.getValue(field);
        if (value == null) {
            return fallback;
        }
        if (value instanceof Integer number && number > 0) {
            return number;
        }
        throw invalid(field + " must be a positive whole number");
    }

    private static boolean flag(JsonObject json, String field, boolean fallback) {
        Object value = json.getValue(field);
        if (value == null) {
            return fallback;
        }
        if (value instanceof Boolean flag) {
            return flag;
        }
        throw invalid(field + " must be true or false");
    }

    private static ProblemException invalid(String detail) {
        return new ProblemException(Problem.refused(BAD_REQUEST, "invalid-request", Step.ACCEPT, detail));
    }
}
