package org.verbenatally.entry;

import java.util.concurrent.TimeUnit;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import org.jboss.logging.Logger;
import org.verbenatally.config.ConfigException;
import org.verbenatally.config.ConfigHolder;
import org.verbenatally.config.ConfigReader;
import org.verbenatally.config.Deployment;
import org.verbenatally.settings.EndpointSettings;

/** Watches the platform's configuration service with a long poll. */
final class PlatformReader {
    private static final Logger LOG = Logger.getLogger(PlatformReader.class);
    private static final int WAIT_MS = 30_000;
    private static final int RETRY_MS = 1_000;
    private static final int OK = 200;

    private final Vertx vertx;
    private final EndpointSettings platform;
    private final ConfigHolder config;
    private final HttpClient client;
    private final Runnable onChange;

    PlatformReader(Vertx vertx, EndpointSettings platform, ConfigHolder config, Runnable onChange) {
        this.vertx = vertx;
        this.platform = platform;
        this.config = config;
        this.onChange = onChange;
        this.client = vertx.createHttpClient();
    }

    void start(Context context) {
        context.runOnContext(v -> read(context));
    }

    private void read(Context context) {
        long after = config.deployment()
                .map(Deployment::version)
                .map(version -> version.value())
                .orElse(0L);
        boolean failed = false;
        try {
            HttpClientResponse response = client.request(
                            HttpMethod.GET,
                            platform.getPort(),
                            platform.getHost(),
                            "/v1/config?after=" + after + "&waitMs=" + (after == 0 ? 0 : WAIT_MS))
                    .compose(request -> request.send())
                    .await(WAIT_MS + RETRY_MS, TimeUnit.MILLISECONDS);
            byte[] body = response.body().await().getBytes();
            if (response.statusCode() == OK
                    && config.offer(ConfigReader.readDocument("platform " + platform.getHost(), body))) {
                LOG.infof(
                        "config: version %s is in force",
                        config.deployment().orElseThrow().version());
                onChange.run();
            }
            failed = after == 0 && response.statusCode() != OK;
        } catch (ConfigException e) {
            LOG.warnf("config: document from the platform was rejected: %s", e.getMessage());
            failed = true;
        } catch (Exception e) {
            // Future.await throws the original checked exception undeclared.
            failed = true;
        }
        vertx.setTimer(failed ? RETRY_MS : 1, id -> context.runOnContext(v -> read(context)));
    }
}
