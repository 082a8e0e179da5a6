package org.verbenatally.forward;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Supplier;

import io.vertx.core.http.HttpClientResponse;
import org.jboss.logging.Logger;
import org.verbenatally.core.Address;
import org.verbenatally.core.ConfigVersion;
import org.verbenatally.core.LogEvent;
import org.verbenatally.core.Outcome;
import org.verbenatally.core.Step;
import org.verbenatally.core.StepException;
import org.verbenatally.forward.relay.RelayPeers;
import org.verbenatally.peer.MemberInfo;

/**
 * Passes requests on to peers over HTTP, unchanged but for the remaining time. A peer that declines a request has not
 * run it, so the next one may be asked. Whatever else happens to a request that was sent, it is sent to no other peer.
 */
final class PeerRelay implements Relay {
    /** Version of the configuration that the sender has in force. */
    static final String VERSION_HEADER = "Relay-Config-Version";
    /** Service that the sender does not reach. */
    static final String SERVICE_HEADER = "Relay-Service";
    /** Id of the request, which the response of a peer states as well; whatever else listens there does not. */
    static final String ID_HEADER = "Relay-Id";
    /** Why a peer has declined a request; in no other response. */
    static final String DECLINED_HEADER = "Relay-Declined";

    private static final Logger LOG = Logger.getLogger(PeerRelay.class);
    /** Number of peers that are asked for one request; those that decline do so within a round trip. */
    private static final int MAX_PEERS = 4;
    /** Requests of this instance that may be open at peers. */
    private static final int MAX_OPEN = 512;
    /** Time after the deadline in which the peer may still end the response by itself. */
    private static final Duration END_MARGIN = Duration.ofSeconds(1);

    private static final int FIRST_NOT_SUCCESS = 300;

    private final ForwardComponents components;
    private final RelayPeers peers;
    private final int port;
    private final Supplier<ConfigVersion> version;

    /**
     * Creates a relay.
     *
     * @param port port at which each instance accepts the requests of its peers
     * @param version version of the configuration in force
     */
    PeerRelay(ForwardComponents components, RelayPeers peers, int port, Supplier<ConfigVersion> version) {
        this.components = Objects.requireNonNull(components, "components");
        this.peers = Objects.requireNonNull(peers, "peers");
        this.port = port;
        this.version = Objects.requireNonNull(version, "version");
    }

    @Override
    public Optional<String> tryRelay(ForwardedRequest request, CallerExchange caller) {
        ConfigVersion own = version.get();
        int asked = 0;
        for (MemberInfo peer : peers.candidates(request.service().name(), own)) {
            Duration remaining = request.remaining(components.timer().nanos());
            if (caller.isGone() || !remaining.isPositive() || asked++ == MAX_PEERS || peers.openCount() >= MAX_OPEN) {
                return Optional.empty();
            }
            peers.onStart(peer.instance());
            try {
                Optional<String> outcome = relay(request, caller, peer, own, remaining);
                if (outcome.isPresent()) {
                    return outcome;
                }
            } finally {
                peers.onEnd(peer.instance());
            }
        }
        return Optional.empty();
    }

    private Optional<String> relay(
            ForwardedRequest request, CallerExchange caller, MemberInfo peer, ConfigVersion own, Duration remaining) {
        TargetExchange exchange;
        HttpClientResponse response;
        try {
            exchange = components
                    .client()
                    .connectToPeer(
                            new Address(peer.address().host(), port),
                            caller.request().method(),
                            caller.request().uri(),
                            remaining);
            var headers = exchange.request().headers();
            Headers.copyEndToEnd(caller.request().headers(), headers);
            components.codec().writeTimeout(remaining, headers);
            headers.set(VERSION_HEADER, Long.toString(own.value()));
            headers.set(SERVICE_HEADER, request.service().name().value());
            headers.set(ID_HEADER, request.id());
            response = exchange.send(request.body(), ResponseTimeout.of(remaining.plus(END_MARGIN)), caller::onGone);
        } catch (StepException e) {
            return onFailure(request, caller, peer, e);
        }
        if (!request.id().equals(response.getHeader(ID_HEADER))) {
            exchange.cancel();
            return onFailure(
                    request,
                    caller,
                    peer,
                    new StepException(
                            Step.FORWARD, peer.instance().value(), Outcome.UNKNOWN, "response is not that of a peer"));
        }
        String declined = response.getHeader(DECLINED_HEADER);
        if (declined != null) {
            exchange.cancel();
            decline(request, peer, declined);
            return Optional.empty();
        }
        components.metrics().countDecision("relayed");
        LogEvent.of("request.relayed")
                .request(request.id())
                .with("peer", peer.instance())
                .with("status", response.statusCode())
                .info(LOG);
        return Optional.of(passOn(request, caller, exchange, response));
    }

    private Optional<String> onFailure(
            ForwardedRequest request, CallerExchange caller, MemberInfo peer, StepException e) {
        if (caller.isGone()) {
            return Optional.of("caller left");
        }
        decline(request, peer, e.getMessage());
        if (e.outcome() == Outcome.NOT_RUN) {
            return Optional.empty();
        }
        boolean pastDeadline = !request.remaining(components.timer().nanos()).isPositive();
        caller.respond(pastDeadline ? CallerExchange.GATEWAY_TIMEOUT : CallerExchange.BAD_GATEWAY);
        return Optional.of("failed: peer lost");
    }

    private void decline(ForwardedRequest request, MemberInfo peer, String reason) {
        peers.onDeclined(peer.instance(), request.service().name());
        components.metrics().countDecision("relay declined");
        LogEvent.of("relay.declined")
                .request(request.id())
                .with("peer", peer.instance())
                .with("reason", reason)
                .info(LOG);
    }

    /** Passes a response on as it arrives. If it breaks off, so does that to the caller. */
    private String passOn(
            ForwardedRequest request, CallerExchange caller, TargetExchange exchange, HttpClientResponse response) {
        caller.startResponse(response);
        ResponseBodyReader reader = new ResponseBodyReader(response);
        while (!caller.isGone()) {
            Duration remaining = request.remaining(components.timer().nanos()).plus(END_MARGIN);
            ResponseBodyReader.Item item = remaining.isPositive() ? reader.next(remaining) : null;
            if (item instanceof ResponseBodyReader.Piece chunk) {
                caller.write(chunk.bytes());
            } else if (item instanceof ResponseBodyReader.End) {
                caller.end();
                return response.statusCode() < FIRST_NOT_SUCCESS ? "served by peer" : "not served by peer";
            } else if (!caller.isGone()) {
                LogEvent.of("relay.broken")
                        .request(request.id())
                        .with("reason", String.valueOf(item))
                        .info(LOG);
                exchange.cancel();
                caller.abort();
                return "failed: peer lost";
            }
        }
        exchange.cancel();
        return "caller left";
    }
}
