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

/** Counts preemptions from the engines' load reports. A restarted engine counts from zero again. */
final class EngineReports implements AutoCloseable {
    private static final Duration TIMEOUT = Duration.ofSeconds(2);

    private record Seen(long incarnation, long preemptions) {}

    private final List<Address> engines;
    private final Map<Address, Seen> last = new HashMap<>();
    private final HttpClient client =
            HttpClient.newBuilder().connectTimeout(TIMEOUT).build();
    private long preemptions;
    private long highestUsed;

    EngineReports(List<Address> engines) {
        this.engines = engines;
    }

    /** Reads all engines; those that do not answer are left out. */
    synchronized void read() {
        for (Address engine : engines) {
            try {
                URI uri = URI.create("http://" + engine + "/v1/load");
                var response = client.send(
                        HttpRequest.newBuilder(uri).timeout(TIMEOUT).build(), HttpResponse.BodyHandlers.ofString());
                add(engine, new JsonObject(response.body()));
            } catch (IOException | DecodeException e) {
                // A dead engine is part of some experiments; its later reports count again.
                continue;
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private void add(Address engine, JsonObject report) {
        Seen now = new Seen(report.getLong("incarnation"), report.getLong("preemptions"));
        Seen before = last.put(engine, now);
        if (before != null) {
            boolean restarted = before.incarnation() != now.incarnation();
            preemptions += now.preemptions() - (restarted ? 0 : before.preemptions());
        }
        highestUsed = Math.max(highestUsed, report.getLong("kvUsedTokens"));
    }

    long preemptions() {
        return preemptions;
    }

    long highestUsed() {
        return highestUsed;
    }

    @Override
    public void close() {
        client.close();
    }
}
