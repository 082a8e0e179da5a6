package org.verbenatally.policy;

import java.util.Objects;

import com.dynatrace.hash4j.hashing.HashValue128;
import com.dynatrace.hash4j.hashing.Hasher128;
import com.dynatrace.hash4j.hashing.Hashing;
import org.verbenatally.core.KindName;
import org.verbenatally.core.OrganisationId;

/**
 * Identifies equal requests: a 128-bit hash of organisation, kind and body.
 *
 * @param high upper half of the hash
 * @param low lower half of the hash
 */
public record Fingerprint(long high, long low) {
    private static final Hasher128 HASHER = Hashing.murmur3_128();

    /** Returns the fingerprint of a request. */
    public static Fingerprint of(OrganisationId organisation, KindName kind, byte[] body) {
        Objects.requireNonNull(body, "body");
        HashValue128 hash = HASHER.hashStream()
                .putString(organisation.value())
                .putString(kind.value())
                .putByteArray(body)
                .get();
        return new Fingerprint(hash.getMostSignificantBits(), hash.getLeastSignificantBits());
    }
}
