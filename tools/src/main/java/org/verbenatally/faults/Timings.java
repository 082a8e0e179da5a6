package org.verbenatally.faults;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.HdrHistogram.Histogram;
import org.verbenatally.history.History;
import org.verbenatally.history.HistoryRecord.Sent;
import org.verbenatally.history.HistoryRecord.TokenSeen;

/** Times of the streams in a history, in milliseconds. */
final class Timings {
    private static final long MAX_MS = 3_600_000;
    private static final int DIGITS = 3;

    private final Histogram firstToken = new Histogram(MAX_MS, DIGITS);
    private final Histogram gap = new Histogram(MAX_MS, DIGITS);
    private final Histogram stall = new Histogram(MAX_MS, DIGITS);

    /**
     * Computes the times of all streams.
     *
     * @param firstTokenMs latency target of the first token
     * @param gapMs latency target of each next token
     */
    Timings(History history, int firstTokenMs, int gapMs) {
        Map<String, Long> sent = new HashMap<>();
        history.all(Sent.class).forEach(each -> sent.put(each.request(), each.atMs()));
        Map<String, List<TokenSeen>> streams = new HashMap<>();
        history.all(TokenSeen.class)
                .forEach(token -> streams.computeIfAbsent(token.request(), each -> new java.util.ArrayList<>())
                        .add(token));
        streams.forEach((request, tokens) -> {
            long late = 0;
            long before = sent.get(request);
            int target = firstTokenMs;
            for (TokenSeen token : tokens) {
                long took = Math.max(0, token.atMs() - before);
                (target == firstTokenMs ? firstToken : gap).recordValue(Math.min(took, MAX_MS));
                late += Math.max(0, took - target);
                before = token.atMs();
                target = gapMs;
            }
            stall.recordValue(Math.min(late, MAX_MS));
        });
    }

    /** Returns percentiles of the first token, the gap between tokens and the stall time of a stream. */
    ObjectNode json() {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.set("firstTokenMs", percentiles(firstToken));
        json.set("tokenGapMs", percentiles(gap));
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
