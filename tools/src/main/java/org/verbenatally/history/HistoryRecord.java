package org.verbenatally.history;

import java.util.Objects;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.verbenatally.core.Outcome;

/** One observation of a test run, written as one JSON object per line with its type in the member {@code record}. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "record")
@JsonSubTypes({
    @JsonSubTypes.Type(value = HistoryRecord.Sent.class, name = "sent"),
    @JsonSubTypes.Type(value = HistoryRecord.TokenReceived.class, name = "token"),
    @JsonSubTypes.Type(value = HistoryRecord.Response.class, name = "answer"),
    @JsonSubTypes.Type(value = HistoryRecord.Run.class, name = "run"),
    @JsonSubTypes.Type(value = HistoryRecord.VersionReported.class, name = "version"),
    @JsonSubTypes.Type(value = HistoryRecord.Leaving.class, name = "leaving"),
    @JsonSubTypes.Type(value = HistoryRecord.Stop.class, name = "stop"),
    @JsonSubTypes.Type(value = HistoryRecord.Fault.class, name = "fault")
})
@JsonInclude(JsonInclude.Include.NON_NULL)
public sealed interface HistoryRecord {

    /** Returns the time of the observation, in wall clock milliseconds. */
    long atMs();

    /**
     * A caller sent one copy of a work item. A copy is one request for the work item under a request id of its own; the
     * first request is a copy too.
     *
     * @param atMs time of sending, in wall clock milliseconds
     * @param request id of this copy, unique in the history; resumes of its stream belong to the same copy
     * @param work id of the work item, carried in the body and shared by all of its copies
     * @param kind kind of work
     * @param repeatable whether running the work more than once is harmless
     * @param streamed whether the response is streamed token by token
     * @param key idempotency key, or {@code null}
     * @param entry id of the entry instance to which the copy was sent
     */
    record Sent(
            long atMs,
            String request,
            String work,
            String kind,
            boolean repeatable,
            boolean streamed,
            String key,
            String entry)
            implements HistoryRecord {
        /** Checks that the ids are present. */
        public Sent {
            Objects.requireNonNull(request, "request");
            Objects.requireNonNull(work, "work");
        }
    }

    /**
     * A caller received one token.
     *
     * @param atMs time of receipt, in wall clock milliseconds
     * @param request id of the copy that the token belongs to
     * @param generation id of the generation, as given by the stream
     * @param offset position of the token in the generation, as given by the event id
     * @param text text of the token
     */
    record TokenReceived(long atMs, String request, String generation, long offset, String text)
            implements HistoryRecord {}

    /**
     * A caller received the end of a response, or stopped waiting for it.
     *
     * @param atMs time of that event, in wall clock milliseconds
     * @param request id of the copy that the response belongs to
     * @param outcome outcome reported to the caller, or {@code null} if the connection ended without a response
     * @param status HTTP status, or 0 if none was received
     * @param type problem type, or {@code null}
     * @param generation id of the generation, as given by the response, or {@code null}
     * @param tokens number of tokens reported at the end of the stream, or -1
     * @param text body of a complete response, or {@code null}
     */
    record Response(
            long atMs,
            String request,
            Outcome outcome,
            int status,
            String type,
            String generation,
            long tokens,
            String text)
            implements HistoryRecord {}

    /**
     * A target ran a work item.
     *
     * @param atMs time when the target started the run, in wall clock milliseconds
     * @param target id of the target
     * @param run generation id or call id
     * @param work id of the work item, as found in the body
     * @param finished whether the run completed
     * @param tokens number of tokens generated; 0 for plain services
     * @param text complete text that the run produced, or {@code null} if it was lost with the target
     */
    record Run(long atMs, String target, String run, String work, boolean finished, long tokens, String text)
            implements HistoryRecord {}

    /**
     * An entry reported the configuration version in force.
     *
     * @param atMs time of the report, in wall clock milliseconds
     * @param instance id of the entry, the same across its restarts
     * @param version version of the document
     * @param digest digest of the document, or an empty string if it was not reported
     */
    record VersionReported(long atMs, String instance, long version, String digest) implements HistoryRecord {}

    /**
     * A target was announced as leaving.
     *
     * @param atMs time of the announcement, in wall clock milliseconds
     * @param target id of the target
     */
    record Leaving(long atMs, String target) implements HistoryRecord {}

    /**
     * An entry was asked to stop gracefully.
     *
     * @param atMs time of the request to stop, in wall clock milliseconds
     * @param instance id of the entry
     */
    record Stop(long atMs, String instance) implements HistoryRecord {}

    /**
     * A fault was injected. Requests that were open at the time of a fault do not count as violations of a planned
     * stop.
     *
     * @param atMs time of the injection, in wall clock milliseconds
     * @param what short name of the fault
     * @param subject process or link affected by the fault
     */
    record Fault(long atMs, String what, String subject) implements HistoryRecord {}
}
