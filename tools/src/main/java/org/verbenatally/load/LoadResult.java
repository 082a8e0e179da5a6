package org.verbenatally.load;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import io.vertx.core.json.JsonObject;

/** Results of a load run. */
public final class LoadResult {
    private final JsonObject summary;
    private final List<RequestRow> rows;
    private final long startNanos;
    private final Measurements all;

    LoadResult(JsonObject summary, List<RequestRow> rows, long startNanos, Measurements all) {
        this.summary = summary;
        this.rows = rows;
        this.startNanos = startNanos;
        this.all = all;
    }

    /**
     * Returns the summary: {@code options}, {@code all}, {@code byKind}, {@code byOrganisation}, {@code
     * engines} and the first {@code violations}. Times are in milliseconds, stall time in seconds.
     */
    public JsonObject summary() {
        return summary.copy();
    }

    /**
     * Writes {@code requests.csv} (all requests, including those of the warm-up), {@code summary.json}, {@code
     * latency.png} and {@code timeline.png}.
     *
     * @param directory output directory; created if it does not exist
     * @throws UncheckedIOException if a file cannot be written
     */
    public void write(Path directory) {
        try {
            Files.createDirectories(directory);
            Files.writeString(directory.resolve("summary.json"), summary.encodePrettily() + "\n");
            StringBuilder csv = new StringBuilder(RequestRow.HEADER).append('\n');
            rows.forEach(row -> csv.append(row.csv(startNanos)).append('\n'));
            Files.writeString(directory.resolve("requests.csv"), csv);
            Plots.latency(all.latencyCurves(), directory.resolve("latency.png"));
            Plots.timeline(rows, startNanos, directory.resolve("timeline.png"));
        } catch (IOException e) {
            throw new UncheckedIOException("cannot write results to " + directory, e);
        }
    }
}
