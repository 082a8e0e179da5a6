package org.verbenatally.entry.caller;

import javax.crypto.spec.SecretKeySpec;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;

import org.verbenatally.core.GenerationId;
import org.verbenatally.core.KindName;
import org.verbenatally.core.OrganisationId;
import org.verbenatally.core.TargetId;
import org.verbenatally.entry.key.TruncatedHmac;

/**
 * Signs and verifies stream tokens. A token names the engine, the generation, the organisation and the kind, so that
 * any entry can resume a stream without stored state. The newest secret signs and all secrets verify, which allows key
 * rotation.
 */
public final class StreamTokens {
    private static final byte FORMAT_VERSION = 1;
    private static final int GENERATION_BYTES = 16;

    private static final int MAX_TOKEN_CHARS = 1_024;

    private final List<SecretKeySpec> secrets;

    /**
     * The claims of a token.
     *
     * @param target the engine
     * @param generation the generation
     * @param organisation whose work it is
     * @param kind the kind of work
     */
    public record Claims(TargetId target, GenerationId generation, OrganisationId organisation, KindName kind) {}

    /**
     * Creates an instance that uses the given secrets, newest first.
     *
     * @throws IllegalArgumentException if there are none
     */
    public StreamTokens(List<String> secrets) {
        if (secrets.isEmpty()) {
            throw new IllegalArgumentException("streamKeys must not be empty");
        }
        this.secrets = secrets.stream()
                .map(s -> TruncatedHmac.secret(s.getBytes(StandardCharsets.UTF_8)))
                .toList();
    }

    /** Returns a signed token for the claims. */
    public String sign(Claims claims) {
        byte[] target = claims.target().value().getBytes(StandardCharsets.US_ASCII);
        byte[] organisation = claims.organisation().value().getBytes(StandardCharsets.US_ASCII);
        byte[] kind = claims.kind().value().getBytes(StandardCharsets.US_ASCII);
        int length = 1 + GENERATION_BYTES + 3 + target.length + organisation.length + kind.length;
        ByteBuffer bytes = ByteBuffer.allocate(length + TruncatedHmac.BYTES);
        bytes.put(FORMAT_VERSION)
                .put(HexFormat.of().parseHex(claims.generation().value()));
        putField(bytes, target);
        putField(bytes, organisation);
        putField(bytes, kind);
        bytes.put(TruncatedHmac.compute(secrets.getFirst(), bytes.array(), length));
        return Base64.getUrlEncoder().withoutPadding().encodeToString(bytes.array());
    }

    private static void putField(ByteBuffer bytes, byte[] field) {
        bytes.put((byte) field.length).put(field);
    }

    /** Returns the claims of a token, or empty if it is malformed or not signed with one of the secrets. */
    public Optional<Claims> verify(String token) {
        if (token.length() > MAX_TOKEN_CHARS) {
            return Optional.empty();
        }
        try {
            byte[] bytes = Base64.getUrlDecoder().decode(token);
            int length = bytes.length - TruncatedHmac.BYTES;
            if (length < 1 || bytes[0] != FORMAT_VERSION || !hasValidSignature(bytes)) {
                return Optional.empty();
            }
            ByteBuffer in = ByteBuffer.wrap(bytes, 1, length - 1);
            byte[] generation = new byte[GENERATION_BYTES];
            in.get(generation);
            return Optional.of(new Claims(
                    new TargetId(readField(in)),
                    new GenerationId(HexFormat.of().formatHex(generation)),
                    new OrganisationId(readField(in)),
                    new KindName(readField(in))));
        } catch (IllegalArgumentException | BufferUnderflowException e) {
            return Optional.empty();
        }
    }

    private static String readField(ByteBuffer in) {
        // Ids are up to 128 bytes long, so the length must be read as an unsigned byte.
        byte[] field = new byte[Byte.toUnsignedInt(in.get())];
        in.get(field);
        return new String(field, StandardCharsets.US_ASCII);
    }

    private boolean hasValidSignature(byte[] bytes) {
        boolean valid = false;
        for (SecretKeySpec secret : secrets) {
            valid |= TruncatedHmac.isValid(secret, bytes);
        }
        return valid;
    }
}
