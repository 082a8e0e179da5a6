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
 * @param id its id
 * @param credentialSha256 SHA-256 of its credential, 64 lower-case hexadecimal digits
 * @param share its weight when capacity is short
 * @param requestsPerSecond rate limit at one entry
 * @param maxStreams most open requests at one entry
 * @param defaultKind the kind that completion-style requests map to, if any
 */
public record Organisation(
        OrganisationId id,
        String credentialSha256,
        double share,
        double requestsPerSecond,
        int maxStreams,
        Optional<KindName> defaultKind) {

    /**
     * Checks the parts.
     *
     * @throws IllegalArgumentException if a number is not positive
     */
    public Organisation {
        Objects.requireNonNull(id, "id");
        if (!(share > 0) || !(requestsPerSecond > 0) || maxStreams < 1) {
            throw new IllegalArgumentException("organisation " + id + " must have positive limits");
        }
    }

    /** Tells whether the SHA-256 of an offered credential matches, in constant time. */
    public boolean matches(byte[] sha256) {
        return MessageDigest.isEqual(HexFormat.of().parseHex(credentialSha256), sha256);
    }
}
