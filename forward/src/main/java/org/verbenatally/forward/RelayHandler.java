package org.verbenatally.forward;

import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;
import java.util.function.Supplier;

import io.vertx.core.http.HttpServerRequest;
import org.jboss.logging.Logger;
import org.verbenatally.core.ConfigVersion;
import org.verbenatally.core.LogEvent;
import org.verbenatally.core.ServiceName;

/** Accepts the requests that peers pass on, or declines them at once. Accepted ones are not passed on again. */
final class RelayHandler {
    private static final Logger LOG = Logger.getLogger(RelayHandler.class);
    /** Requests of peers that may be open at a time. */
    private static final int MAX_OPEN = 256;

    private final ForwardHandler handler;
    private final Predicate<String> isMember;
    private final Predicate<ServiceName> isCutOff;
    private final Supplier<ConfigVersion> version;
    private final Shutdown shutdown;
    private final AtomicInteger open = new AtomicInteger();

    /**
     * Creates a handler.
     *
     * @param handler handles accepted requests, and passes none of them on
     * @param isMember returns whether a host is that of a peer
     * @param isCutOff returns whether this instance does not reach the targets of a service
     * @param version version of the configuration in force
     */
    RelayHandler(
            ForwardHandler handler,
            Predicate<String> isMember,
            Predicate<ServiceName> isCutOff,
            Supplier<ConfigVersion> version,
            Shutdown shutdown) {
        this.handler = Objects.requireNonNull(handler, "handler");
        this.isMember = Objects.requireNonNull(isMember, "isMember");
        this.isCutOff = Objects.requireNonNull(isCutOff, "isCutOff");
        this.version = Objects.requireNonNull(version, "version");
        this.shutdown = Objects.requireNonNull(shutdown, "shutdown");
    }

    /** Returns how many requests of peers are open. */
    int openCount() {
        return open.get();
    }

    /** Handles a request, which must be paused. */
    void handle(HttpServerRequest request) {
        String host = request.remoteAddress().host();
        if (!isMember.test(host)) {
            LogEvent.of("relay.stranger").with("peer", host).warn(LOG);
            request.connection().close();
            return;
        }
        String id = request.getHeader(PeerRelay.ID_HEADER);
        if (id != null) {
            request.response().putHeader(PeerRelay.ID_HEADER, id);
        }
        Optional<String> reason = reasonToDecline(request);
        if (reason.isPresent()) {
            decline(request, reason.get());
            return;
        }
        LogEvent.of("relay.accepted")
                .request(String.valueOf(id))
                .with("peer", host)
                .info(LOG);
        open.incrementAndGet();
        try {
            handler.handle(request);
        } finally {
            open.decrementAndGet();
        }
    }

    private Optional<String> reasonToDecline(HttpServerRequest request) {
        if (shutdown.isStopping()) {
            return Optional.of("stopping");
        }
        if (open.get() >= MAX_OPEN) {
            return Optional.of("too many requests of peers");
        }
        try {
            if (Long.parseLong(request.getHeader(PeerRelay.VERSION_HEADER))
                    > version.get().value()) {
                return Optional.of("configuration is older");
            }
            return isCutOff.test(new ServiceName(request.getHeader(PeerRelay.SERVICE_HEADER)))
                    ? Optional.of("reaches no target")
                    : Optional.empty();
        } catch (RuntimeException e) {
            return Optional.of("malformed: " + e.getMessage());
        }
    }

    /** Declines a request after its body, whose unread rest would reset the connection before the response arrives. */
    private static void decline(HttpServerRequest request, String reason) {
        request.end()
                .onSuccess(v -> request.response()
                        .setStatusCode(CallerExchange.UNAVAILABLE)
                        .putHeader(PeerRelay.DECLINED_HEADER, reason)
                        .end());
        request.resume();
    }
}
