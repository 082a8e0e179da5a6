package org.verbenatally.entry.caller;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.UUID;
import java.util.function.LongPredicate;

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
import org.verbenatally.entry.key.KeyedCallRunner;
import org.verbenatally.entry.key.KeyedCalls;
import org.verbenatally.entry.operator.ServiceResult;
import org.verbenatally.policy.Fingerprint;

/** Handles work, completion and key requests. */
final class WorkHandler {
    private static final int CREATED = 201;
    private static final int BAD_REQUEST = 400;
    private static final int TOO_LARGE = 413;
    private static final int PRECONDITION_REQUIRED = 428;
    private static final int BAD_GATEWAY = 502;
    private static final int UNAVAILABLE = 503;
    /** Length, in characters, of the prompt prefix whose hash recognises requests that can share cached memory. */
    private static final int PREFIX_CHARS = 1_024;

    private final CallerComponents components;
    private final KeyedCalls keyedCalls;
    private final Vertx vertx;
    private final ServiceCalls serviceCalls;
    private final LongPredicate outlives;

    WorkHandler(CallerComponents components, KeyedCalls keyedCalls, Vertx vertx, LongPredicate outlives) {
        this.components = Objects.requireNonNull(components, "components");
        this.keyedCalls = Objects.requireNonNull(keyedCalls, "keyedCalls");
        this.vertx = Objects.requireNonNull(vertx, "vertx");
        this.outlives = Objects.requireNonNull(outlives, "outlives");
        this.serviceCalls = new ServiceCalls(components, vertx.getOrCreateContext());
    }

    /** Handles a work request; the kind decides whether it runs on an engine or calls a plain service. */
    void handleWork(Exchange exchange, String kindName) {
        Kind kind = kind(kindName);
        Buffer body = exchange.readBody(deployment().limits().maxBodyBytes());
        startTrace(exchange, kind);
        if (kind.runsOn() == TargetType.ENGINE) {
            generate(exchange, kind, body);
        } else if (!outlives.test(exchange.deadlineNanos(kind.deadline()))) {
            throw CallerHandler.stopping("this entry stops before the deadline of the call");
        } else if (kind.repeatable()) {
            callIdempotent(exchange, kind, body);
        } else {
            callKeyed(exchange, kind, body);
        }
    }

    /** Returns whether requests of the kind with this name need an idempotency key. */
    boolean needsKey(String kindName) {
        Kind kind = kind(kindName);
        return kind.runsOn() == TargetType.SERVICE && !kind.repeatable();
    }

    private void startTrace(Exchange exchange, Kind kind) {
        exchange.setTrace(components
                .log()
                .startTrace(
                        exchange.id(),
                        exchange.organisation().id().value(),
                        kind.name().value()));
        exchange.addTraceStep("accepted");
    }

    private Deployment deployment() {
        return components
                .config()
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
        JsonObject json = parseObject(body);
        GenerationRequest request = generationRequest(
                exchange,
                kind,
                body,
                requiredText(json, "prompt"),
                optionalNumber(json, "maxTokens", kind.maxTokens()));
        boolean stream = optionalFlag(json, "stream", kind.delivery() == Kind.Delivery.STREAM);
        String preferHeader = exchange.request().getHeader("Prefer");
        CallerResponse response;
        if (preferHeader != null && preferHeader.contains("respond-async")) {
            response = new AsyncResponse(exchange);
        } else if (stream && kind.delivery() == Kind.Delivery.STREAM) {
            response = new StreamResponse(vertx, exchange, false);
        } else {
            response = new CompleteResponse(
                    exchange,
                    (text, tokens) -> new JsonObject().put("text", text).put("tokens", tokens));
        }
        new EngineRun(components, vertx, exchange, response, request).run();
    }

    private GenerationRequest generationRequest(
            Exchange exchange, Kind kind, Buffer body, String prompt, int maxTokens) {
        byte[] prefix =
                prompt.substring(0, Math.min(PREFIX_CHARS, prompt.length())).getBytes(StandardCharsets.UTF_8);
        return new GenerationRequest(
                kind,
                exchange.organisation(),
                prompt,
                Math.min(maxTokens, kind.maxTokens()),
                Hashing.komihash5_0().hashBytesToLong(prefix),
                Fingerprint.of(exchange.organisation().id(), kind.name(), body.getBytes()),
                exchange.startNanos(),
                exchange.deadlineNanos(kind.deadline()));
    }

    /** Handles a completion request, which runs as the organisation's default kind. */
    void handleCompletion(Exchange exchange) {
        KindName name = exchange.organisation()
                .defaultKind()
                .orElseThrow(() -> invalidRequest("the organisation has no default kind for completions"));
        Kind kind = kind(name.value());
        if (kind.runsOn() != TargetType.ENGINE) {
            throw invalidRequest("the organisation's default kind does not run on engines");
        }
        Buffer body = exchange.readBody(deployment().limits().maxBodyBytes());
        startTrace(exchange, kind);
        JsonObject json = parseObject(body);
        String model = kind.model().orElseThrow().value();
        Object requestedModel = json.getValue("model");
        if (requestedModel != null && !requestedModel.equals(model)) {
            throw invalidRequest("model must be " + model);
        }
        GenerationRequest request = generationRequest(
                exchange,
                kind,
                body,
                requiredText(json, "prompt"),
                optionalNumber(json, "max_tokens", kind.maxTokens()));
        CompletionFormat format = new CompletionFormat(exchange.id(), model);
        CallerResponse response = optionalFlag(json, "stream", false)
                ? new StreamResponse(vertx, exchange, false, format)
                : new CompleteResponse(exchange, format::body);
        new EngineRun(components, vertx, exchange, response, request).run();
    }

    private void callIdempotent(Exchange exchange, Kind kind, Buffer body) {
        parseObject(body);
        ServiceCalls.Call call = new ServiceCalls.Call(
                kind,
                exchange.organisation(),
                UUID.randomUUID().toString(),
                body,
                exchange.deadlineNanos(kind.deadline()));
        respond(exchange, kind, new IdempotentCall(serviceCalls, vertx, exchange, call).run());
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
        parseObject(body);
        CallResult result = Future.fromCompletionStage(
                        keyedCalls.call(new KeyedCallRunner.KeyedCall(
                                exchange.id(),
                                exchange.organisation().id(),
                                kind.name(),
                                key,
                                exchange.deadlineNanos(kind.deadline()),
                                body.getBytes())),
                        vertx.getOrCreateContext())
                .await();
        exchange.markDecidedByOwner();
        respond(exchange, kind, result);
    }

    private Problem keyRequired(Exchange exchange, Kind kind) {
        Problem problem = Problem.refused(
                PRECONDITION_REQUIRED, "key-required", Step.ACCEPT, "the kind needs an Idempotency-Key");
        return keyedCalls
                .issue(exchange.organisation().id(), kind.name())
                .map(key -> problem.withMember("key", key))
                .orElse(problem);
    }

    private void respond(Exchange exchange, Kind kind, CallResult result) {
        components.metrics().countOutcome(kind.name(), result.outcome());
        ServiceResult serviceResult =
                switch (result.outcome()) {
                    case DONE -> ServiceResult.MET;
                    case NOT_RUN -> ServiceResult.REFUSED;
                    case UNKNOWN -> ServiceResult.LOST;
                };
        components
                .metrics()
                .errorBudget()
                .recordResult(kind.name(), exchange.organisation().id(), serviceResult);
        if (result.outcome() == Outcome.DONE) {
            exchange.addTraceStep("answered by " + result.peer() + " with status " + result.status());
            exchange.succeed(result.status(), "application/json", Buffer.buffer(result.body()));
            return;
        }
        Step step = result.step().orElse(Step.SEND);
        boolean notRun = result.outcome() == Outcome.NOT_RUN;
        int status = step == Step.ACCEPT ? BAD_REQUEST : notRun || step == Step.FORWARD ? UNAVAILABLE : BAD_GATEWAY;
        String type = step == Step.ACCEPT ? "invalid-key" : notRun ? "not-run" : "outcome-unknown";
        Problem problem = Problem.refused(status, type, step, result.message()).withOutcome(result.outcome());
        throw new ProblemException(
                step == Step.ACCEPT ? problem : problem.withPeer(result.peer()).withRetryAfter(Duration.ofSeconds(1)));
    }

    /** Issues an idempotency key for a kind. */
    void issueKey(Exchange exchange, String kindName) {
        Kind kind = kind(kindName);
        String key = keyedCalls
                .issue(exchange.organisation().id(), kind.name())
                .orElseThrow(() -> new ProblemException(
                        Problem.refused(UNAVAILABLE, "no-keys", Step.ADMIT, "this entry issues no keys now")
                                .withRetryAfter(Duration.ofSeconds(1))));
        exchange.succeed(CREATED, new JsonObject().put("key", key));
    }

    private static JsonObject parseObject(Buffer body) {
        try {
            return new JsonObject(body);
        } catch (DecodeException | ClassCastException e) {
            throw invalidRequest("the body must be a JSON object");
        }
    }

    private static String requiredText(JsonObject json, String field) {
        if (json.getValue(field) instanceof String text) {
            return text;
        }
        throw invalidRequest(field + " must be a string");
    }

    private static int optionalNumber(JsonObject json, String field, int defaultValue) {
        Object value = json.getValue(field);
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof Integer number && number > 0) {
            return number;
        }
        throw invalidRequest(field + " must be a positive integer");
    }

    private static boolean optionalFlag(JsonObject json, String field, boolean defaultValue) {
        Object value = json.getValue(field);
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof Boolean flag) {
            return flag;
        }
        throw invalidRequest(field + " must be true or false");
    }

    private static ProblemException invalidRequest(String detail) {
        return new ProblemException(Problem.refused(BAD_REQUEST, "invalid-request", Step.ACCEPT, detail));
    }
}
