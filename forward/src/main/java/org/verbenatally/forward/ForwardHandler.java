package org.verbenatally.forward;

import java.time.Duration;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;

import io.vertx.core.Context;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import org.jboss.logging.Logger;
import org.verbenatally.core.LogEvent;
import org.verbenatally.core.OrganisationId;
import org.verbenatally.core.Trait;
import org.verbenatally.policy.Fingerprint;
import org.verbenatally.time.TimedAwait;

/** Handles the requests of callers: finds the route of each, checks it and runs it in the task that accepted it. */
final class ForwardHandler {
    private static final Logger LOG = Logger.getLogger(ForwardHandler.class);

    private static final Duration RETRY_AFTER = Duration.ofMillis(200);
    /** A request that crashes its targets is not worth retrying soon. */
    private static final Duration QUARANTINE_RETRY_AFTER = Duration.ofMinutes(15);

    /** A starting instance knows its configuration half a second after it begins to listen, later on a slow machine. */
    private static final Duration MAX_CONFIG_WAIT = Duration.ofSeconds(1);

    private static final Duration CONFIG_CHECK_INTERVAL = Duration.ofMillis(10);
    /** Longest wait for the body of a caller that states no timeout. */
    private static final Duration BODY_TIMEOUT = Duration.ofSeconds(10);

    private final ForwardComponents components;
    private final Supplier<Optional<ForwardDeployment>> deployment;
    private final Shutdown shutdown;
    private final Context context;
    private final Duration maxBodyTime;
    private final Relay relay;

    /**
     * Creates a handler.
     *
     * @param deployment configuration in force, empty before there is one
     * @param context context of the verticle that accepts the requests
     * @param maxBodyTime longest time that a caller may take to send a body, whatever timeout it states
     * @param relay has requests served by other instances whose targets this one does not reach
     */
    ForwardHandler(
            ForwardComponents components,
            Supplier<Optional<ForwardDeployment>> deployment,
            Shutdown shutdown,
            Context context,
            Duration maxBodyTime,
            Relay relay) {
        this.relay = Objects.requireNonNull(relay, "relay");
        this.components = Objects.requireNonNull(components, "components");
        this.deployment = Objects.requireNonNull(deployment, "deployment");
        this.shutdown = Objects.requireNonNull(shutdown, "shutdown");
        this.context = Objects.requireNonNull(context, "context");
        this.maxBodyTime = Objects.requireNonNull(maxBodyTime, "maxBodyTime");
    }

    /** A request that is rejected before a service is contacted. */
    private static final class Rejected extends Exception {
        private static final long serialVersionUID = 1;

        private final int status;
        private final Duration retryAfter;

        Rejected(int status, String reason) {
            this(status, reason, RETRY_AFTER);
        }

        Rejected(int status, String reason, Duration retryAfter) {
            super(reason);
            this.status = status;
            this.retryAfter = retryAfter;
        }
    }

    void handle(HttpServerRequest request) {
        long start = components.timer().nanos();
        shutdown.onRequestStart();
        CallerExchange caller = new CallerExchange(context.owner(), request, shutdown::isStopping);
        boolean accepted = false;
        try {
            ForwardedRequest forwarded = accept(caller, start);
            accepted = true;
            run(forwarded, caller, start);
        } catch (Rejected e) {
            reject(caller, e);
        } catch (Throwable e) {
            // The exchange with the caller fails with undeclared checked exceptions when its connection is lost.
            onInternalError(caller, accepted, e);
        } finally {
            reportAbort(caller, start);
            caller.release();
            shutdown.onRequestEnd();
        }
    }

    /** Responds to a request that could not be handled; a target may have run it only if it was accepted. */
    private void onInternalError(CallerExchange caller, boolean accepted, Throwable e) {
        if (caller.isGone()) {
            return;
        }
        components.metrics().countDecision("internal error");
        LOG.errorf(e, "forward: request %s failed with an internal error", caller.requestId());
        caller.discardHead();
        if (caller.isStarted()) {
            caller.abort();
        } else if (accepted) {
            caller.respond(CallerExchange.BAD_GATEWAY);
        } else {
            caller.refuse(CallerExchange.UNAVAILABLE, RETRY_AFTER);
        }
    }

    /** Logs and counts a response that this instance has broken off, whatever the reason. */
    private void reportAbort(CallerExchange caller, long start) {
        if (!caller.isAborted()) {
            return;
        }
        components.metrics().countDecision("response aborted");
        LogEvent.of("response.aborted")
                .request(caller.requestId())
                .with("path", caller.request().path())
                .with("started", caller.isStarted())
                .with("ms", Duration.ofNanos(components.timer().nanos() - start).toMillis())
                .with("version", deployment.get().map(d -> d.version().value()).orElse(0L))
                .warn(LOG);
    }

    private void reject(CallerExchange caller, Rejected e) {
        components.metrics().countDecision("rejected");
        LogEvent.of("request.rejected")
                .with("status", e.status)
                .with("reason", e.getMessage())
                .with("path", caller.request().path())
                .with("version", deployment.get().map(d -> d.version().value()).orElse(0L))
                .info(LOG);
        if (e.status == CallerExchange.UNAVAILABLE) {
            caller.refuse(e.status, e.retryAfter);
        } else {
            caller.respond(e.status);
        }
    }

    private void run(ForwardedRequest forwarded, CallerExchange caller, long start) {
        boolean generates = forwarded.route().retrySafety() == RetrySafety.GENERATION
                && forwarded.service().engine().isPresent();
        String outcome = generates
                ? new StreamRun(
                                components,
                                forwarded,
                                forwarded.head().generation().orElse(Generation.UNKNOWN),
                                caller,
                                relay,
                                context)
                        .run()
                : new CallRun(components, forwarded, caller, relay).run();
        Duration elapsed = Duration.ofNanos(components.timer().nanos() - start);
        components.metrics().recordRequest(forwarded.route().retrySafety(), outcome, elapsed);
        LogEvent.of("request.ended")
                .request(forwarded.id())
                .with("outcome", outcome)
                .with("status", caller.status())
                .with("ms", elapsed.toMillis())
                .info(LOG);
    }

    /** Reads and checks a request against the configuration that is in force when its body has arrived. */
    private ForwardedRequest accept(CallerExchange caller, long start) throws Rejected {
        if (!caller.hasUnambiguousFraming()) {
            caller.closeAfterResponse();
            throw new Rejected(CallerExchange.BAD_REQUEST, "the transfer coding is not supported");
        }
        RequestHead head;
        try {
            head = components.codec().read(caller.request());
            caller.setRequestId(head.id());
        } catch (IllegalArgumentException e) {
            throw new Rejected(CallerExchange.BAD_REQUEST, e.getMessage());
        }
        ForwardDeployment initial = awaitDeployment(caller, head.callerTimeout().orElse(BODY_TIMEOUT));
        checkHead(caller.request(), initial);
        Buffer body = readBody(caller, head, initial);
        ForwardDeployment d = deployment.get().orElse(initial);
        Route route =
                d.route(head.host(), head.path()).orElseThrow(() -> new Rejected(CallerExchange.NOT_FOUND, "no route"));
        Optional<OrganisationId> organisation = authenticate(d, route, head);
        ServiceSpec service = d.service(route.service(head.id().hashCode()))
                .orElseThrow(() -> new Rejected(CallerExchange.UNAVAILABLE, "route names an unknown service"));
        Duration timeout = head.callerTimeout()
                .filter(t -> t.compareTo(route.timeout()) < 0)
                .orElse(route.timeout());
        if (!shutdown.isAccepting(route.retrySafety(), timeout)) {
            throw new Rejected(CallerExchange.UNAVAILABLE, "this instance is stopping");
        }
        Fingerprint fingerprint =
                Fingerprint.of(organisation.map(OrganisationId::value).orElse(""), head.path(), body.getBytes());
        Set<Trait> traits = new HashSet<>();
        traits.add(fingerprint.trait());
        head.sharedParts().forEach(part -> traits.add(Trait.of(part)));
        if (!components.crashDetector().tryAdmit(traits)) {
            throw new Rejected(
                    CallerExchange.UNAVAILABLE, "requests like this one crash their targets", QUARANTINE_RETRY_AFTER);
        }
        ForwardedRequest forwarded = new ForwardedRequest(
                head,
                route,
                service,
                d.rank(route, service.name()),
                d.queueRank(route, organisation),
                organisation,
                body,
                traits,
                start + timeout.toNanos());
        LogEvent.of("request.accepted")
                .request(forwarded.id())
                .with("route", route.name())
                .with("service", service.name())
                .with("rank", forwarded.rank().rank())
                .with("organisation", organisation.map(Object::toString).orElse(""))
                .with("patienceMs", timeout.toMillis())
                .with("sharedParts", head.sharedParts())
                .with("version", d.version().value())
                .info(LOG);
        return forwarded;
    }

    /**
     * Waits for the first configuration, for at most half of the timeout of the caller, so that the caller can still
     * retry.
     */
    private ForwardDeployment awaitDeployment(CallerExchange caller, Duration timeout) throws Rejected {
        long waitEnd = components.timer().nanos() + Math.min(MAX_CONFIG_WAIT.toNanos(), timeout.toNanos() / 2);
        while ((deployment.get().isEmpty() || !components.directory().isKnown())
                && !caller.isGone()
                && components.timer().nanos() - waitEnd < 0) {
            TimedAwait.sleep(caller.owner(), CONFIG_CHECK_INTERVAL);
        }
        return deployment
                .get()
                .orElseThrow(() -> new Rejected(CallerExchange.UNAVAILABLE, "no configuration is known yet"));
    }

    private static void checkHead(HttpServerRequest request, ForwardDeployment d) throws Rejected {
        int bytes = request.uri().length();
        for (Map.Entry<String, String> header : request.headers()) {
            bytes += header.getKey().length() + header.getValue().length();
        }
        if (bytes > d.limits().headerBytes()) {
            throw new Rejected(
                    CallerExchange.HEAD_TOO_LARGE,
                    "head is longer than " + d.limits().headerBytes() + " bytes");
        }
    }

    private Buffer readBody(CallerExchange caller, RequestHead head, ForwardDeployment d) throws Rejected {
        Buffer body = Buffer.buffer();
        CallerExchange.BodyEnd end;
        Duration timeout = head.callerTimeout().orElse(BODY_TIMEOUT);
        try {
            end = caller.readBody(
                    body,
                    d.limits().bodyBytes(),
                    components.bodyMemory(),
                    timeout.compareTo(maxBodyTime) < 0 ? timeout : maxBodyTime);
        } catch (TimeoutException e) {
            throw new Rejected(CallerExchange.UNAVAILABLE, "body did not arrive in time");
        }
        return switch (end) {
            case COMPLETE -> body;
            case TOO_LARGE ->
                throw new Rejected(
                        CallerExchange.TOO_LARGE,
                        "body is longer than " + d.limits().bodyBytes() + " bytes");
            case NO_MEMORY ->
                throw new Rejected(CallerExchange.UNAVAILABLE, "bodies of other requests take all the memory for them");
        };
    }

    private static Optional<OrganisationId> authenticate(ForwardDeployment d, Route route, RequestHead head)
            throws Rejected {
        Optional<OrganisationId> organisation = head.credential().flatMap(d::organisation);
        if (organisation.isEmpty() && d.needsCredential() && !route.allowsAnonymous()) {
            throw new Rejected(CallerExchange.UNAUTHORIZED, "credential is missing or unknown");
        }
        return organisation;
    }
}
