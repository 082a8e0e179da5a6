package org.verbenatally.entry.key;

import javax.crypto.spec.SecretKeySpec;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Objects;
import java.util.Optional;

import com.dynatrace.hash4j.hashing.Hashing;
import org.verbenatally.core.Incarnation;
import org.verbenatally.core.InstanceId;
import org.verbenatally.core.KindName;
import org.verbenatally.core.OrganisationId;

/**
 * The decoded contents of an idempotency key. Only its owner, which holds the secret, can verify its signature.
 *
 * @param owner the instance that issued the key
 * @param incarnation the incarnation of that instance
 * @param serial sequence number within the incarnation
 * @param issuedAtMs uptime of the incarnation when it issued the key, in milliseconds
 * @param organisationHash hash of the organisation that may use the key
 * @param kind the kind of work for which the key was issued
 */
record IdempotencyKey(
        InstanceId owner, Incarnation incarnation, long serial, long issuedAtMs, long organisationHash, KindName kind) {
    private static final byte FORMAT_VERSION = 1;
    private static final int MAX_CHARS = 1_024;

    IdempotencyKey {
        Objects.requireNonNull(owner, "owner");
        Objects.requireNonNull(incarnation, "incarnation");
        Objects.requireNonNull(kind, "kind");
    }

    static long hash(OrganisationId organisation) {
        return Hashing.komihash5_0().hashCharsToLong(organisation.value());
    }

    /** Returns the key with its signature as base64url text. */
    String encode(SecretKeySpec secret) {
        byte[] ownerBytes = owner.value().getBytes(StandardCharsets.US_ASCII);
        byte[] kindBytes = kind.value().getBytes(StandardCharsets.US_ASCII);
        int length = 1 + 4 * Long.BYTES + 2 + ownerBytes.length + kindBytes.length;
        ByteBuffer out = ByteBuffer.allocate(length + TruncatedHmac.BYTES);
        out.put(FORMAT_VERSION)
                .putLong(incarnation.value())
                .putLong(serial)
                .putLong(issuedAtMs)
                .putLong(organisationHash);
        out.put((byte) ownerBytes.length).put(ownerBytes);
        out.put((byte) kindBytes.length).put(kindBytes);
        out.put(TruncatedHmac.compute(secret, out.array(), length));
        return Base64.getUrlEncoder().withoutPadding().encodeToString(out.array());
    }

    /** Parses a key without verifying its signature; empty if the text is not a key. */
    static Optional<IdempotencyKey> parse(String text) {
        if (text.length() > MAX_CHARS) {
            return Optional.empty();
        }
        try {
            byte[] bytes = Base64.getUrlDecoder().decode(text);
            if (bytes.length <= TruncatedHmac.BYTES || bytes[0] != FORMAT_VERSION || !isCanonical(text, bytes)) {
                return Optional.empty();
            }
            ByteBuffer in = ByteBuffer.wrap(bytes, 1, bytes.length - TruncatedHmac.BYTES - 1);
            Incarnation incarnation = new Incarnation(in.getLong());
            long serial = in.getLong();
            long issuedAtMs = in.getLong();
            long organisation = in.getLong();
            InstanceId owner = new InstanceId(readString(in));
            KindName kind = new KindName(readString(in));
            return in.hasRemaining()
                    ? Optional.empty()
                    : Optional.of(new IdempotencyKey(owner, incarnation, serial, issuedAtMs, organisation, kind));
        } catch (IllegalArgumentException | BufferUnderflowException e) {
            return Optional.empty();
        }
    }

    /**
     * Returns whether the text is the canonical encoding of the bytes. Base64 decoders ignore unused bits, and two
     * texts for one key would be two records in the key table.
     */
    private static boolean isCanonical(String text, byte[] bytes) {
        return Base64.getUrlEncoder().withoutPadding().encodeToString(bytes).equals(text);
    }

    private static String readString(ByteBuffer in) {
        byte[] chars = new byte[Byte.toUnsignedInt(in.get())];
        in.get(chars);
        return new String(chars, StandardCharsets.US_ASCII);
    }

    /** Returns whether a key that {@link #parse} accepted was signed with the secret. */
    static boolean hasValidSignature(String text, SecretKeySpec secret) {
        byte[] bytes = Base64.getUrlDecoder().decode(text);
        return TruncatedHmac.isValid(secret, bytes);
    }
}
