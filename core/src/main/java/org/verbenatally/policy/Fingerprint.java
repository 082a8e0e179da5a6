package org.verbenatally.policy;

import java.util.Locale;
import java.util.Objects;

import com.dynatrace.hash4j.hashing.HashValue128;
import com.dynatrace.hash4j.hashing.Hasher128;
import com.dynatrace.hash4j.hashing.Hashing;
import org.verbenatally.core.KindName;
import org.verbenatally.core.OrganisationId;
import org.verbenatally.core.Trait;

/**
 * Identifies equal requests: a 128-bit hash of organisation, kind or path, and body.
 *
 * @param high upper half of the hash
 * @param low lower half of the hash
 */
public record Fingerprint(long high, long low) {
    private static final Hasher128 HASHER = Hashing.murmur3_128();

    /** Returns the fingerprint of a request. */
    public static Fingerprint of(OrganisationId organisation, KindName kind, byte[] body) {
        return of(organisation.value(), kind.value(), body);
    }

    /**
     * Returns the fingerprint of a forwarded request.
     *
     * @param caller organisation of the caller, empty if unknown
     * @param path path of the request
     * @param body complete body of the request
     */
    public static Fingerprint of(String caller, String path, byte[] body) {
        Objects.requireNonNull(body, "body");
        HashValue128 hash = HASHER.hashStream()
                .putString(caller)
                .putString(path)
                .putByteArray(body)
                .get();
        return new Fingerprint(hash.getMostSignificantBits(), hash.getLeastSignificantBits());
    }

    /** Returns the trait that all retries of the request have in common. */
    public Trait trait() {
        return new Trait(String.format(Locale.ROOT, "request:%016x%016x", high, low));
    }
}
