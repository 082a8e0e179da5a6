package org.verbenatally.entry.target;

import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import org.verbenatally.config.Target;
import org.verbenatally.core.TargetId;
import org.verbenatally.http.ConnectionHistory.Exchange;
import org.verbenatally.policy.ReportedLoad;

/**
 * Reads load reports. A report states no request, but the time at which it was made, so that a second copy of a report
 * is recognised by its time. Methods wait and must run in a virtual-thread task.
 */
final class LoadClient {
    private static final String URI = "/v1/load";
    private static final Duration TIMEOUT = Duration.ofSeconds(1);
    private static final int MAX_REPORT_BYTES = 16_384;
    private static final int OK = 200;

    private final TargetHttpClient http;
    /** Time of the latest report of each target that was read by a poll, in milliseconds; 0 if it states none. */
    private final Map<TargetId, Long> latestMs = new ConcurrentHashMap<>();

    LoadClient(TargetHttpClient http) {
        this.http = Objects.requireNonNull(http, "http");
    }

    /** Forgets all targets but these. */
    void retainAll(Set<TargetId> targets) {
        latestMs.keySet().retainAll(targets);
    }

    /**
     * Reads a report. Polls of one target must follow each other. They use one connection as long as each report is
     * newer than the one before it, and a new connection each if the reports state no time.
     *
     * @throws TargetFailure if the target sends no valid report in time, or one that is possibly of an earlier poll
     */
    ReportedLoad poll(Target target) throws TargetFailure {
        Long latest = latestMs.get(target.id());
        Exchange exchange = latest != null && latest == 0
                ? http.connect(target, HttpMethod.GET, URI)
                : http.connectForLoad(target, URI);
        ReportedLoad load = read(target, exchange);
        if (exchange.isReused() && (latest == null || load.atMs() <= latest)) {
            exchange.cancel();
            throw new TargetFailure(
                    target.id(), TargetFailure.Cause.BAD_ANSWER, "report is not newer than that of an earlier poll");
        }
        latestMs.put(target.id(), load.atMs());
        return load;
    }

    /**
     * Reads a report on a new connection.
     *
     * @throws TargetFailure if the target sends no valid report in time
     */
    ReportedLoad readOnce(Target target) throws TargetFailure {
        return read(target, http.connect(target, HttpMethod.GET, URI));
    }

    private ReportedLoad read(Target target, Exchange exchange) throws TargetFailure {
        HttpClientResponse response = http.send(target, exchange, null, TIMEOUT);
        Buffer body = http.readBody(target, exchange, response, MAX_REPORT_BYTES, TIMEOUT);
        try {
            if (response.statusCode() != OK) {
                throw new IllegalArgumentException("status is " + response.statusCode());
            }
            return LoadPoller.parse(target, new JsonObject(body));
        } catch (DecodeException | ClassCastException e) {
            throw new TargetFailure(target.id(), TargetFailure.Cause.BAD_ANSWER, "report is malformed", e);
        } catch (IllegalArgumentException e) {
            throw new TargetFailure(target.id(), TargetFailure.Cause.BAD_ANSWER, e.getMessage(), e);
        }
    }
}
