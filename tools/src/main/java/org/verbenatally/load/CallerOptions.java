package org.verbenatally.load;

import java.util.List;

import org.verbenatally.core.Address;

/**
 * How a caller behaves.
 *
 * @param entries entries to send to, in turn
 * @param silenceMs time without a byte after which a stream is resumed at another entry, in milliseconds
 * @param headMs time without a response to a new stream after which another copy is sent, in milliseconds
 * @param maxCopies most copies of a request that are sent, the first included
 * @param maxResumes most resumes of a stream
 * @param notRunRetries copies sent after an answer {@code not-run}, each after the time that the answer named
 * @param graceMs time after the deadline until the caller gives up, in milliseconds
 * @param connectTimeoutMs longest time to connect, in milliseconds
 */
public record CallerOptions(
        List<Address> entries,
        long silenceMs,
        long headMs,
        int maxCopies,
        int maxResumes,
        int notRunRetries,
        long graceMs,
        long connectTimeoutMs) {

    /** Returns the defaults: resume after 5 s of silence, up to 4 copies and 8 resumes, no retry of {@code not-run}. */
    public static CallerOptions to(List<Address> entries) {
        return new CallerOptions(entries, 5_000, 20_000, 4, 8, 0, 5_000, 2_000);
    }

    /** Checks that there is an entry. */
    public CallerOptions {
        entries = List.copyOf(entries);
        if (entries.isEmpty() || silenceMs < 1 || headMs < 1 || maxCopies < 1 || connectTimeoutMs < 1) {
            throw new IllegalArgumentException("a caller needs at least one entry, one copy and positive times");
        }
    }
}
