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
 * What an idempotency key says. Only its owner, who holds the secret, can tell whether it is genuine.
 *
 * @param owner the instance that issued it
 * @param run the run of that instance
 * @param serial number within the run
 * @param stampMs uptime of the run when it issued the key, in milliseconds
 * @param organisationHash hash of the organisation that may use it
 * @param kind the kind of work that it is for
 */
record IdempotencyKey(
        InstanceId owner, Incarnation run, long serial, long stampMs, long organisationHash, KindName kind) {
    private static final byte FORM = 1;
    private static final int MAX_CHARS = 1_024;

    IdempotencyKey {
        Objects.requireNonNull(owner, "owner");
        Objects.requireNonNull(run, "run");
        Objects.requireNonNull(kind, "kind");
    }

    static long hash(OrganisationId organisation) {
        return Hashing.komihash5_0().hashCharsToLong(organisation.value());
    }

    /** Writes the key with its MAC. */
    String write(SecretKeySpec secret) {
        byte[] ownerBytes = owner.value().getBytes(StandardCharsets.US_ASCII);
        byte[] kindBytes = kind.value().getBytes(StandardCharsets.US_ASCII);
        int length = 1 + 4 * Long.BYTES + 2 + ownerBytes.length + kindBytes.length;
        ByteBuffer out = ByteBuffer.allocate(length + Signature.BYTES);
        out.put(FORM).putLong(run.value()).putLong(serial).putLong(stampMs).putLong(organisationHash);
        out.put((byte) ownerBytes.length).put(ownerBytes);
        out.put((byte) kindBytes.length).put(kindBytes);
        out.put(Signature.sign(secret, out.array(), length));
        return Base64.getUrlEncoder().withoutPadding().encodeToString(out.array());
    }

    /** Reads a key without checking its MAC; empty if the text is no key. */
    static Optional<IdempotencyKey> read(String text) {
        if (text.length() > MAX_CHARS) {
            return Optional.empty();
        }
        try {
            byte[] bytes = Base64.getUrlDecoder().decode(text);
            if (bytes.length <= Signature.BYTES || bytes[0] != FORM || !encodes(text, bytes)) {
                return Optional.empty();
            }
            ByteBuffer in = ByteBuffer.wrap(bytes, 1, bytes.length - Signature.BYTES - 1);
            Incarnation run = new Incarnation(in.getLong());
            long serial = in.getLong();
            long stampMs = in.getLong();
            long organisation = in.getLong();
            InstanceId owner = new InstanceId(part(in));
            KindName kind = new KindName(part(in));
            return in.hasRemaining()
                    ? Optional.empty()
                    : Optional.of(new IdempotencyKey(owner, run, serial, stampMs, organisation, kind));
        } catch (IllegalArgumentException | BufferUnderflowException e) {
            return Optional.empty();
        }
    }

    /** Base64 decoders ignore unused bits; two texts for one key would be two rows in the key table. */
    private static boolean encodes(String text, byte[] bytes) {
        return Base64.getUrlEncoder().withoutPadding().encodeToString(bytes).equals(text);
    }

    private static String part(ByteBuffer in) {
        byte[] part = new byte[Byte.toUnsignedInt(in.get())];
        in.get(part);
        return new String(part, StandardCharsets.US_ASCII);
    }

    /** Tells whether the MAC of a key that {@link #read} accepted was made with the secret. */
    static boolean isGenuine(String text, SecretKeySpec secret) {
        byte[] bytes = Base64.getUrlDecoder().decode(text);
        return Signature.isSigned(secret, bytes);
    }
}
