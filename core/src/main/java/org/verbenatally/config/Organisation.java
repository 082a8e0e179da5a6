package org.verbenatally.config;

import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.Objects;
import java.util.Optional;

import org.verbenatally.core.KindName;
import org.verbenatally.core.OrganisationId;

/**
 * An organisation whose callers send work.
 *
 * @param id id of the organisation
 * @param credentialSha256 SHA-256 digest of its credential, 64 lower-case hexadecimal digits
 * @param share weight of the organisation when capacity is scarce
 * @param requestsPerSecond rate limit at one entry, in requests per second
 * @param maxStreams maximum number of open requests at one entry
 * @param defaultKind kind that completion-style requests map to, if any
 */
public record Organisation(
        OrganisationId id,
        String credentialSha256,
        double share,
        double requestsPerSecond,
        int maxStreams,
        Optional<KindName> defaultKind) {

    /**
     * Checks the components.
     *
     * @throws IllegalArgumentException if a number is not positive
     */
    public Organisation {
        Objects.requireNonNull(id, "id");
        if (!(share > 0) || !(requestsPerSecond > 0) || maxStreams < 1) {
            throw new IllegalArgumentException("organisation " + id + " must have positive limits");
        }
    }

    /** Returns whether the given SHA-256 digest is that of the organisation's credential; compares in constant time. */
    public boolean matches(byte[] sha256) {
        return MessageDigest.isEqual(HexFormat.of().parseHex(credentialSha256), sha256);
    }
}
