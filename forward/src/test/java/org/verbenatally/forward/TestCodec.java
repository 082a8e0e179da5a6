package org.verbenatally.forward;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Stream;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import org.verbenatally.core.Address;
import org.verbenatally.core.PromptPartId;
import org.verbenatally.forward.cold.ColdNotice;
import org.verbenatally.forward.pause.PauseRequest;

/** Codec for tests, with header names of its own. */
final class TestCodec implements HttpMessageCodec {
    static final String ID = "Test-Id";
    static final String CALLER_TIMEOUT = "Test-Patience";
    static final String TOKENS = "Test-Tokens";
    static final String PARTS = "Test-Parts";
    static final String KEY = "Test-Key";
    static final String TARGET = "Test-Target";
    static final String ORGANISATION = "Test-Organisation";
    static final String BACKUP = "Test-Backup";
    static final String COPY = "Test-Copy";
    static final String LAST_EVENT = "Test-Last-Event";
    static final String NOT_RUN = "Test-Not-Run";
    static final String SIGNED = "Test-Signed";
    static final String COLD = "Test-Cold";
    /** How long the target wants no requests, in milliseconds; any other value is malformed. */
    static final String PAUSE = "Test-Pause";
    /** {@code yes} if the target is about to leave; any other value is malformed. */
    static final String LEAVING = "Test-Leaving";

    @Override
    public RequestHead read(HttpServerRequest request) {
        String tokens = request.getHeader(TOKENS);
        String parts = request.getHeader(PARTS);
        return new RequestHead(
                Optional.ofNullable(request.getHeader(ID)).orElseThrow(() -> new IllegalArgumentException("no id")),
                request.authority().host(),
                request.path(),
                Optional.ofNullable(request.getHeader(KEY)),
                Optional.ofNullable(request.getHeader(CALLER_TIMEOUT)).map(v -> Duration.ofMillis(Long.parseLong(v))),
                tokens == null
                        ? Optional.empty()
                        : Optional.of(new Generation(100, Long.parseLong(tokens), OptionalLong.empty())),
                parts == null
                        ? List.of()
                        : Stream.of(parts.split(",")).map(PromptPartId::new).toList());
    }

    @Override
    public void write(ForwardingMetadata metadata, MultiMap headers) {
        headers.remove(KEY);
        headers.set(TARGET, metadata.target().value());
        headers.set(CALLER_TIMEOUT, Long.toString(metadata.remaining().toMillis()));
        metadata.organisation().ifPresent(o -> headers.set(ORGANISATION, o.value()));
        metadata.backup().ifPresent(a -> headers.set(BACKUP, a.toString()));
        metadata.continuation().ifPresent(c -> {
            headers.set(COPY, c.holder() + "/" + c.copyId());
            c.lastEvent().ifPresent(e -> headers.set(LAST_EVENT, e));
        });
    }

    @Override
    public void writeTimeout(Duration remaining, MultiMap headers) {
        headers.set(CALLER_TIMEOUT, Long.toString(remaining.toMillis()));
    }

    @Override
    public ResponseHead read(HttpClientResponse response) {
        return new ResponseHead(
                response.statusCode(),
                response.getHeader(NOT_RUN) != null,
                Optional.ofNullable(response.getHeader(ID)),
                response.getHeader(SIGNED) != null,
                departure(response.getHeader(LEAVING)),
                cold(response.getHeader(COLD)),
                pause(response.getHeader(PAUSE)));
    }

    private static PauseRequest pause(String value) {
        if (value == null) {
            return PauseRequest.NONE;
        }
        return value.matches("[0-9]+")
                ? PauseRequest.of(Duration.ofMillis(Long.parseLong(value)))
                : PauseRequest.malformed(PAUSE + " is " + value);
    }

    private static ColdNotice cold(String value) {
        return value == null ? ColdNotice.NONE : ColdNotice.of(Duration.ofMillis(Long.parseLong(value)));
    }

    private static ResponseHead.Departure departure(String value) {
        if (value == null) {
            return ResponseHead.Departure.NONE;
        }
        return value.equals("yes") ? ResponseHead.Departure.ANNOUNCED : ResponseHead.Departure.MALFORMED;
    }

    @Override
    public EngineOrder copyRequest(String requestId, Address destination) {
        return new EngineOrder(HttpMethod.POST, "/copy", Buffer.buffer(requestId + ">" + destination));
    }

    @Override
    public EngineOrder stopRequest(String requestId, Address destination) {
        return new EngineOrder(HttpMethod.POST, "/stop", Buffer.buffer(requestId + ">" + destination));
    }

    @Override
    public EngineOrder releaseRequest(String copyId) {
        return new EngineOrder(HttpMethod.DELETE, "/kept/" + copyId, Buffer.buffer());
    }

    @Override
    public Optional<String> readCopyResponse(int status, Buffer body) {
        return status == 200 ? Optional.of(body.toString()) : Optional.empty();
    }

    @Override
    public Optional<String> readStopResponse(int status, Buffer body) {
        return status == 200 ? Optional.of(body.toString()) : Optional.empty();
    }

    @Override
    public boolean isNotRunning(int orderStatus) {
        return orderStatus == 404;
    }
}
