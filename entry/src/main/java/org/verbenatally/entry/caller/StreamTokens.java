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
import org.verbenatally.entry.key.Signature;

/**
 * Writes and checks stream tokens. A token names the engine, the generation, the organisation and the kind, so that any
 * entry can resume a stream without stored state. The newest secret signs; all secrets verify, for key rollover.
 */
public final class StreamTokens {
    private static final byte FORM = 1;
    private static final int GENERATION_BYTES = 16;

    private static final int MAX_TOKEN_CHARS = 1_024;

    private final List<SecretKeySpec> secrets;

    /**
     * What a token says.
     *
     * @param target the engine
     * @param generation the generation
     * @param organisation whose work it is
     * @param kind the kind of work
     */
    public record Claims(TargetId target, GenerationId generation, OrganisationId organisation, KindName kind) {}

    /** Takes the secrets, the newest first. */
    public StreamTokens(List<String> secrets) {
        if (secrets.isEmpty()) {
            throw new IllegalArgumentException("streamKeys must not be empty");
        }
        this.secrets = secrets.stream()
                .map(s -> Signature.secret(s.getBytes(StandardCharsets.UTF_8)))
                .toList();
    }

    /** Returns the token for the claims. */
    public String write(Claims claims) {
        byte[] target = claims.target().value().getBytes(StandardCharsets.US_ASCII);
        byte[] organisation = claims.organisation().value().getBytes(StandardCharsets.US_ASCII);
        byte[] kind = claims.kind().value().getBytes(StandardCharsets.US_ASCII);
        int length = 1 + GENERATION_BYTES + 3 + target.length + organisation.length + kind.length;
        ByteBuffer bytes = ByteBuffer.allocate(length + Signature.BYTES);
        bytes.put(FORM).put(HexFormat.of().parseHex(claims.generation().value()));
        put(bytes, target);
        put(bytes, organisation);
        put(bytes, kind);
        bytes.put(Signature.sign(secrets.getFirst(), bytes.array(), length));
        return Base64.getUrlEncoder().withoutPadding().encodeToString(bytes.array());
    }

    private static void put(ByteBuffer bytes, byte[] part) {
        bytes.put((byte) part.length).put(part);
    }

    /** Returns the claims of a token, or empty if no entry of this deployment signed it. */
    public Optional<Claims> read(String token) {
        if (token.length() > MAX_TOKEN_CHARS) {
            return Optional.empty();
        }
        try {
            byte[] bytes = Base64.getUrlDecoder().decode(token);
            int length = bytes.length - Signature.BYTES;
            if (length < 1 || bytes[0] != FORM || !isSigned(bytes)) {
                return Optional.empty();
            }
            ByteBuffer in = ByteBuffer.wrap(bytes, 1, length - 1);
            byte[] generation = new byte[GENERATION_BYTES];
            in.get(generation);
            return Optional.of(new Claims(
                    new TargetId(part(in)),
                    new GenerationId(HexFormat.of().formatHex(generation)),
                    new OrganisationId(part(in)),
                    new KindName(part(in))));
        } catch (IllegalArgumentException | BufferUnderflowException e) {
            return Optional.empty();
        }
    }

    private static String part(ByteBuffer in) {
        // Ids are at most 128 bytes long, which a signed byte holds only without its sign.
        byte[] part = new byte[Byte.toUnsignedInt(in.get())];
        in.get(part);
        return new String(part, StandardCharsets.US_ASCII);
    }

    private boolean isSigned(byte[] bytes) {
        boolean signed = false;
        for (SecretKeySpec secret : secrets) {
            signed |= Signature.isSigned(secret, bytes);
        }
        return signed;
    }
}
