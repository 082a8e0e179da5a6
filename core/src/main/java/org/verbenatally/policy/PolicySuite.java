package org.verbenatally.policy;

import java.time.Duration;
import java.util.List;
import java.util.Objects;

/**
 * The policies that a {@link Dispatcher} uses together.
 *
 * @param name name by which the suite is selected
 * @param routing chooses targets
 * @param admission admits, queues and refuses requests
 * @param adaptive whether the concurrency limit learned for each target applies
 */
public record PolicySuite(String name, RoutingPolicy routing, AdmissionPolicy admission, boolean adaptive) {
    /** System property that names the suite of a process. */
    public static final String PROPERTY = "verbenatally.policy";

    /** The name of the default suite. */
    public static final String DEFAULT = "headroom";

    private static final List<String> NAMES = List.of(
            DEFAULT,
            "round-robin",
            "fewest-in-flight",
            "lowest-reported",
            "two-choices",
            "key-value-pressure",
            "key-value-pressure-corrected");

    /** Checks that no component is null. */
    public PolicySuite {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(routing, "routing");
        Objects.requireNonNull(admission, "admission");
    }

    /** Returns the names that {@link #byName} accepts, the default first. */
    public static List<String> names() {
        return NAMES;
    }

    /**
     * Returns whether the named suite is a variant of a baseline that uses the load estimated by this entry instead of
     * the reported one.
     */
    public static boolean usesCorrectedLoad(String name) {
        return name.endsWith("-corrected");
    }

    /** Returns the suite that the system property {@value #PROPERTY} names, or the default one. */
    public static PolicySuite fromSystemProperty() {
        return byName(System.getProperty(PROPERTY, DEFAULT));
    }

    /**
     * Creates a suite.
     *
     * @throws IllegalArgumentException if the name is unknown
     */
    public static PolicySuite byName(String name) {
        return switch (name) {
            case DEFAULT -> new PolicySuite(name, HeadroomRouting.DEFAULT, new UrgencyAdmission(), true);
            case "round-robin" -> baseline(name, BaselineRouting.roundRobin());
            case "fewest-in-flight" -> baseline(name, BaselineRouting.fewestInFlight());
            case "lowest-reported" -> baseline(name, BaselineRouting.lowestReported());
            case "two-choices" -> baseline(name, BaselineRouting.twoChoices());
            case "key-value-pressure" -> baseline(name, BaselineRouting.keyValuePressure(false));
            case "key-value-pressure-corrected" -> baseline(name, BaselineRouting.keyValuePressure(true));
            default ->
                throw new IllegalArgumentException("policy must be one of " + String.join(", ", NAMES) + ": " + name);
        };
    }

    private static PolicySuite baseline(String name, RoutingPolicy routing) {
        return new PolicySuite(name, routing, PolicySuite::admitIfCapacity, false);
    }

    private static AdmissionDecision admitIfCapacity(AdmissionInput input) {
        if (input.hasCapacity()) {
            return new AdmissionDecision.Admit();
        }
        return input.queuedRequests() < input.maxQueued()
                ? new AdmissionDecision.Queue()
                : new AdmissionDecision.Refuse("too many requests wait", Duration.ofSeconds(1));
    }
}
