package org.verbenatally.load;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import org.verbenatally.core.Address;

/**
 * Counts preemptions from the engines' load reports. The counter in the reports starts again at zero when an engine
 * restarts.
 */
final class EngineReports implements AutoCloseable {
    private static final Duration TIMEOUT = Duration.ofSeconds(2);

    private record Report(long incarnation, long preemptions) {}

    private final List<Address> engines;
    private final Map<Address, Report> lastReports = new HashMap<>();
    private final HttpClient client =
            HttpClient.newBuilder().connectTimeout(TIMEOUT).build();
    private long preemptions;
    private long highestUsedTokens;

    EngineReports(List<Address> engines) {
        this.engines = engines;
    }

    /** Reads the load report of each engine; skips engines that do not respond. */
    synchronized void read() {
        for (Address engine : engines) {
            try {
                URI uri = URI.create("http://" + engine + "/v1/load");
                var response = client.send(
                        HttpRequest.newBuilder(uri).timeout(TIMEOUT).build(), HttpResponse.BodyHandlers.ofString());
                addReport(engine, new JsonObject(response.body()));
            } catch (IOException | DecodeException e) {
                // Some experiments stop an engine; its reports are counted again once it responds.
                continue;
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private void addReport(Address engine, JsonObject report) {
        Report current = new Report(report.getLong("incarnation"), report.getLong("preemptions"));
        Report previous = lastReports.put(engine, current);
        if (previous != null) {
            boolean restarted = previous.incarnation() != current.incarnation();
            preemptions += current.preemptions() - (restarted ? 0 : previous.preemptions());
        }
        highestUsedTokens = Math.max(highestUsedTokens, report.getLong("kvUsedTokens"));
    }

    long preemptions() {
        return preemptions;
    }

    long highestUsedTokens() {
        return highestUsedTokens;
    }

    @Override
    public void close() {
        client.close();
    }
}
