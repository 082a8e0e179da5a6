package org.verbenatally.load;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.verbenatally.config.Deployment;

/**
 * An organisation that sends load.
 *
 * @param organisation id of the organisation
 * @param credential credential of the organisation
 * @param weight relative share of the load; the weights of all callers are normalised by their sum
 */
public record Caller(String organisation, String credential, double weight) {
    private static final int CALLER_COUNT = 10;
    private static final double[] LARGE_WEIGHTS = {30, 20, 15};

    /** Checks that the weight is positive. */
    public Caller {
        if (!(weight > 0)) {
            throw new IllegalArgumentException("weight of " + organisation + " must be positive");
        }
    }

    /**
     * Returns the organisations of a deployment in order of their ids, weighted by their shares. The credential of each
     * is its id with {@code -credential} appended, as in the examples.
     *
     * @throws IllegalArgumentException if an organisation has a different credential
     */
    public static List<Caller> of(Deployment deployment) {
        return deployment.organisations().values().stream()
                .sorted(Comparator.comparing(organisation -> organisation.id().value()))
                .map(organisation -> {
                    String id = organisation.id().value();
                    Caller caller = new Caller(id, id + "-credential", organisation.share());
                    if (!organisation.matches(sha256(caller.credential()))) {
                        throw new IllegalArgumentException(
                                "the credential of " + id + " is not its id followed by -credential");
                    }
                    return caller;
                })
                .toList();
    }

    private static byte[] sha256(String text) {
        try {
            return MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }

    /** Returns {@code org-1} to {@code org-10}: three large ones send 65% of the load, the others 5% each. */
    public static List<Caller> tenWithThreeLarge() {
        List<Caller> callers = new ArrayList<>();
        for (int i = 0; i < CALLER_COUNT; i++) {
            String id = "org-" + (i + 1);
            callers.add(new Caller(id, "credential-" + id, i < LARGE_WEIGHTS.length ? LARGE_WEIGHTS[i] : 5));
        }
        return callers;
    }
}
