package org.verbenatally.entry.caller;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Objects;
import java.util.Optional;

import io.vertx.core.http.HttpServerRequest;
import org.verbenatally.config.ConfigHolder;
import org.verbenatally.config.Deployment;
import org.verbenatally.config.Organisation;
import org.verbenatally.core.OrganisationId;
import org.verbenatally.core.Step;

/** Checks the credential of a request. */
final class Authenticator {
    private static final int UNAUTHORIZED = 401;
    private static final int UNAVAILABLE = 503;
    private static final String SCHEME = "Bearer ";
    private static final byte[] NO_DIGEST = new byte[32];

    private final ConfigHolder<Deployment> config;

    Authenticator(ConfigHolder<Deployment> config) {
        this.config = Objects.requireNonNull(config, "config");
    }

    /**
     * Returns the organisation whose credential the request carries.
     *
     * @throws ProblemException if the credential is missing or wrong, or the entry has no configuration yet
     */
    Organisation authenticate(HttpServerRequest request) {
        Deployment deployment = config.deployment()
                .orElseThrow(() -> new ProblemException(Problem.refused(
                        UNAVAILABLE, "no-configuration", Step.ACCEPT, "this entry has no configuration yet")));
        Optional<Organisation> organisation = organisation(deployment, request.getHeader("Organisation"));
        String header = request.getHeader("Authorization");
        boolean hasScheme = header != null && header.regionMatches(true, 0, SCHEME, 0, SCHEME.length());
        byte[] offeredDigest =
                sha256(hasScheme ? header.substring(SCHEME.length()).trim() : "");
        // Compare digests for an unknown organisation too, so that it takes as long as a wrong credential.
        boolean matches = organisation
                .map(o -> o.matches(offeredDigest))
                .orElseGet(() -> MessageDigest.isEqual(NO_DIGEST, offeredDigest));
        if (!hasScheme || !matches || organisation.isEmpty()) {
            request.response().putHeader("WWW-Authenticate", "Bearer");
            throw new ProblemException(Problem.refused(
                    UNAUTHORIZED,
                    "unauthorized",
                    Step.AUTHENTICATE,
                    "headers Organisation and Authorization must name an organisation and its credential"));
        }
        return organisation.get();
    }

    private static Optional<Organisation> organisation(Deployment deployment, String id) {
        try {
            return Optional.ofNullable(id).map(OrganisationId::new).map(deployment.organisations()::get);
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static byte[] sha256(String text) {
        try {
            return MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("the Java platform must provide SHA-256", e);
        }
    }
}
