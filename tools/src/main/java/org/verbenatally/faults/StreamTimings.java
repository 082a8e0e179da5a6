package org.verbenatally.faults;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.HdrHistogram.Histogram;
import org.verbenatally.history.History;
import org.verbenatally.history.HistoryRecord.Sent;
import org.verbenatally.history.HistoryRecord.TokenReceived;

/** Latency statistics of the streams in a history, in milliseconds. */
final class StreamTimings {
    private static final long MAX_MS = 3_600_000;
    private static final int SIGNIFICANT_DIGITS = 3;

    private final Histogram firstToken = new Histogram(MAX_MS, SIGNIFICANT_DIGITS);
    private final Histogram tokenGap = new Histogram(MAX_MS, SIGNIFICANT_DIGITS);
    private final Histogram stall = new Histogram(MAX_MS, SIGNIFICANT_DIGITS);

    /**
     * Computes the statistics over all streams.
     *
     * @param firstTokenMs latency target of the first token, in milliseconds
     * @param tokenGapMs latency target of each following token, in milliseconds
     */
    StreamTimings(History history, int firstTokenMs, int tokenGapMs) {
        Map<String, Long> sentAtMs = new HashMap<>();
        history.recordsOfType(Sent.class).forEach(each -> sentAtMs.put(each.request(), each.atMs()));
        Map<String, List<TokenReceived>> streams = new HashMap<>();
        history.recordsOfType(TokenReceived.class)
                .forEach(token -> streams.computeIfAbsent(token.request(), each -> new java.util.ArrayList<>())
                        .add(token));
        streams.forEach((request, tokens) -> {
            long stallMs = 0;
            long previousMs = sentAtMs.get(request);
            int targetMs = firstTokenMs;
            for (TokenReceived token : tokens) {
                long elapsedMs = Math.max(0, token.atMs() - previousMs);
                (targetMs == firstTokenMs ? firstToken : tokenGap).recordValue(Math.min(elapsedMs, MAX_MS));
                stallMs += Math.max(0, elapsedMs - targetMs);
                previousMs = token.atMs();
                targetMs = tokenGapMs;
            }
            stall.recordValue(Math.min(stallMs, MAX_MS));
        });
    }

    /** Returns percentiles of the time to the first token, the gap between tokens and the stall time of a stream. */
    ObjectNode json() {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.set("firstTokenMs", percentiles(firstToken));
        json.set("tokenGapMs", percentiles(tokenGap));
        json.set("stallMs", percentiles(stall));
        return json;
    }

    private static ObjectNode percentiles(Histogram histogram) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("p50", histogram.getValueAtPercentile(50))
                .put("p95", histogram.getValueAtPercentile(95))
                .put("p99", histogram.getValueAtPercentile(99))
                .put("max", histogram.getMaxValue());
    }
}
