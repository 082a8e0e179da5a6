package org.verbenatally.load;

import java.util.ArrayList;
import java.util.List;

/**
 * An organisation that sends load.
 *
 * @param organisation its id
 * @param credential its credential
 * @param weight its part of the load; the parts of all callers are divided by their sum
 */
public record Caller(String organisation, String credential, double weight) {
    private static final int COUNT = 10;
    private static final double[] LARGE = {30, 20, 15};

    /** Checks that the weight is positive. */
    public Caller {
        if (!(weight > 0)) {
            throw new IllegalArgumentException("weight of " + organisation + " must be positive");
        }
    }

    /** Returns {@code org-1} to {@code org-10}: three large ones send 65% of the load, the others 5% each. */
    public static List<Caller> tenWithThreeLarge() {
        List<Caller> callers = new ArrayList<>();
        for (int i = 0; i < COUNT; i++) {
            String id = "org-" + (i + 1);
            callers.add(new Caller(id, "credential-" + id, i < LARGE.length ? LARGE[i] : 5));
        }
        return callers;
    }
}
