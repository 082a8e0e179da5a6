package org.verbenatally.entry.key;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;

/**
 * Computes the message authentication codes (MACs) that sign stream tokens and idempotency keys: HMAC-SHA256 truncated
 * to 128 bits, which RFC 2104 permits, because every event carries a stream token.
 */
public final class TruncatedHmac {
    /** Length of a MAC in bytes. */
    public static final int BYTES = 16;

    private static final String ALGORITHM = "HmacSHA256";

    private TruncatedHmac() {}

    /** Returns the MAC key made of the given secret bytes. */
    public static SecretKeySpec secret(byte[] bytes) {
        return new SecretKeySpec(bytes, ALGORITHM);
    }

    /** Returns the MAC of the first {@code length} bytes. */
    public static byte[] compute(SecretKeySpec secret, byte[] bytes, int length) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(secret);
            mac.update(bytes, 0, length);
            return Arrays.copyOf(mac.doFinal(), BYTES);
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("the Java runtime must provide " + ALGORITHM, e);
        }
    }

    /** Returns whether the bytes end with the MAC of all bytes before it; compares in constant time. */
    public static boolean isValid(SecretKeySpec secret, byte[] bytes) {
        int length = bytes.length - BYTES;
        return MessageDigest.isEqual(compute(secret, bytes, length), Arrays.copyOfRange(bytes, length, bytes.length));
    }
}
