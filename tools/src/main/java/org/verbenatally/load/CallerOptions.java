package org.verbenatally.load;

import java.util.List;

import org.verbenatally.core.Address;

/**
 * Timeouts and retry limits of a caller.
 *
 * @param entryAddresses addresses of the entries, which are used in turn
 * @param silenceTimeoutMs time without data after which a stream is resumed at another entry, in milliseconds
 * @param headTimeoutMs time without a response head for a new stream after which another copy is sent, in milliseconds
 * @param maxCopies maximum number of copies of a request that are sent, the first included
 * @param maxResumes maximum number of resumes of a stream
 * @param notRunRetries maximum number of further copies that are sent after a response {@code not-run}, each after the
 *     delay that the response requests
 * @param graceMs time after the deadline until the caller gives up, in milliseconds
 * @param connectTimeoutMs connect timeout, in milliseconds
 */
public record CallerOptions(
        List<Address> entryAddresses,
        long silenceTimeoutMs,
        long headTimeoutMs,
        int maxCopies,
        int maxResumes,
        int notRunRetries,
        long graceMs,
        long connectTimeoutMs) {

    /**
     * Returns the default options: resume after 5 s without data, up to 4 copies and 8 resumes, and no retry after a
     * response {@code not-run}.
     */
    public static CallerOptions defaults(List<Address> entryAddresses) {
        return new CallerOptions(entryAddresses, 5_000, 20_000, 4, 8, 0, 5_000, 2_000);
    }

    /** Checks that there is at least one entry, and the ranges of the timeouts and of {@code maxCopies}. */
    public CallerOptions {
        entryAddresses = List.copyOf(entryAddresses);
        if (entryAddresses.isEmpty()
                || silenceTimeoutMs < 1
                || headTimeoutMs < 1
                || maxCopies < 1
                || connectTimeoutMs < 1) {
            throw new IllegalArgumentException(
                    "a caller needs at least one entry, at least one copy and positive timeouts");
        }
    }
}
