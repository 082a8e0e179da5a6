package org.verbenatally.history;

import java.util.Objects;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.verbenatally.core.Outcome;

/** One observation of a run. Written as one JSON object a line, with its type in the member {@code record}. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "record")
@JsonSubTypes({
    @JsonSubTypes.Type(value = HistoryRecord.Sent.class, name = "sent"),
    @JsonSubTypes.Type(value = HistoryRecord.TokenSeen.class, name = "token"),
    @JsonSubTypes.Type(value = HistoryRecord.Answer.class, name = "answer"),
    @JsonSubTypes.Type(value = HistoryRecord.Run.class, name = "run"),
    @JsonSubTypes.Type(value = HistoryRecord.VersionSeen.class, name = "version"),
    @JsonSubTypes.Type(value = HistoryRecord.Leaving.class, name = "leaving"),
    @JsonSubTypes.Type(value = HistoryRecord.Stop.class, name = "stop"),
    @JsonSubTypes.Type(value = HistoryRecord.Fault.class, name = "fault")
})
@JsonInclude(JsonInclude.Include.NON_NULL)
public sealed interface HistoryRecord {

    /** Returns when it happened, in wall clock milliseconds. */
    long atMs();

    /**
     * A caller sent one copy of a piece of work.
     *
     * @param atMs when
     * @param request id of this copy, unique in the history; resumes of its stream belong to the same copy
     * @param work id of the piece of work, carried in the body; all copies of the same work share it
     * @param kind kind of work
     * @param repeatable whether a second run does no harm
     * @param streamed whether the answer comes token by token
     * @param key idempotency key, or {@code null}
     * @param entry instance to which the copy was sent
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
     * @param atMs when
     * @param request the copy that it answers
     * @param generation generation that the stream named
     * @param offset offset that its event id named
     * @param text its text
     */
    record TokenSeen(long atMs, String request, String generation, long offset, String text) implements HistoryRecord {}

    /**
     * A caller received the end of an answer, or gave up on it.
     *
     * @param atMs when
     * @param request the copy that it answers
     * @param outcome what the caller was told, or {@code null} if the connection ended without an answer
     * @param status HTTP status, 0 if none arrived
     * @param type problem type, or {@code null}
     * @param generation generation that the answer named, or {@code null}
     * @param tokens number of tokens that the end of the stream named, or -1
     * @param text body of a whole answer, or {@code null}
     */
    record Answer(
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
     * A target ran a piece of work.
     *
     * @param atMs when the target started it
     * @param target id of the target
     * @param run generation id or call id
     * @param work id of the piece of work, as found in the body
     * @param finished whether it ran to its end
     * @param tokens number of tokens generated; 0 for plain services
     * @param text all text that it produced, or {@code null} if the target was lost with it
     */
    record Run(long atMs, String target, String run, String work, boolean finished, long tokens, String text)
            implements HistoryRecord {}

    /**
     * An entry reported the configuration version in force.
     *
     * @param atMs when
     * @param instance id of the entry, the same across its restarts
     * @param version version of the document
     * @param digest digest of the document, or the empty string if it was not reported
     */
    record VersionSeen(long atMs, String instance, long version, String digest) implements HistoryRecord {}

    /**
     * A target was announced as leaving.
     *
     * @param atMs when
     * @param target id of the target
     */
    record Leaving(long atMs, String target) implements HistoryRecord {}

    /**
     * An entry was told to stop gracefully.
     *
     * @param atMs when
     * @param instance id of the entry
     */
    record Stop(long atMs, String instance) implements HistoryRecord {}

    /**
     * A fault was injected. Requests that were open at a fault are not held against a planned stop.
     *
     * @param atMs when
     * @param what short name of the fault
     * @param subject process or link that it hit
     */
    record Fault(long atMs, String what, String subject) implements HistoryRecord {}
}
