package org.verbenatally.entry.operator;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** Holds the traces of recent requests in memory. Safe for use by several threads. */
public final class RequestLog {
    /** Maximum number of traces; beyond it the oldest is removed. */
    private static final int CAPACITY = 2_048;

    private final Map<String, RequestTrace> traces = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, RequestTrace> eldest) {
            return size() > CAPACITY;
        }
    };

    /** Starts the trace of a request; a later request with the same id replaces it. */
    public RequestTrace startTrace(String request, String organisation, String kind) {
        RequestTrace trace = new RequestTrace(request, organisation, kind);
        synchronized (traces) {
            traces.remove(request);
            traces.put(request, trace);
        }
        return trace;
    }

    /** Returns the trace of a request; empty if the request is unknown or its trace has been removed. */
    public Optional<RequestTrace> find(String request) {
        synchronized (traces) {
            return Optional.ofNullable(traces.get(request));
        }
    }
}
