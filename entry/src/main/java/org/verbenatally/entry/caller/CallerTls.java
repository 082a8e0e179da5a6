package org.verbenatally.entry.caller;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.ClientAuth;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.net.PemKeyCertOptions;
import io.vertx.core.net.PemTrustOptions;
import io.vertx.core.net.ServerSSLOptions;
import org.jboss.logging.Logger;
import org.verbenatally.settings.TlsSettings;

/** TLS of the callers' listener. Changed files are read again, so certificates are renewed without a restart. */
final class CallerTls {
    private static final Logger LOG = Logger.getLogger(CallerTls.class);

    private final TlsSettings settings;
    private final List<HttpServer> servers = new ArrayList<>();
    private List<FileTime> loaded;

    CallerTls(TlsSettings settings) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.loaded = times();
    }

    /** Adds key, certificate and accepted issuers to the options of a server. */
    HttpServerOptions apply(HttpServerOptions options) {
        options.setSsl(true).setKeyCertOptions(key());
        if (settings.getTrustFile() != null) {
            options.setClientAuth(ClientAuth.REQUIRED).setTrustOptions(trust());
        }
        return options;
    }

    synchronized void add(HttpServer server) {
        servers.add(server);
    }

    /** Takes the files again if one has changed; after a fault the former ones stay in use. */
    synchronized void reloadIfChanged() {
        List<FileTime> now = times();
        if (now.equals(loaded)) {
            return;
        }
        loaded = now;
        try {
            ServerSSLOptions options = new ServerSSLOptions().setKeyCertOptions(key());
            if (settings.getTrustFile() != null) {
                options.setClientAuth(ClientAuth.REQUIRED).setTrustOptions(trust());
            }
            servers.forEach(server -> server.updateSSLOptions(options)
                    .onSuccess(updated -> LOG.info("caller: the certificate was read again"))
                    .onFailure(e -> LOG.warnf("caller: the new certificate cannot be used: %s", e.getMessage())));
        } catch (IllegalArgumentException e) {
            LOG.warnf("caller: the new certificate cannot be read: %s", e.getMessage());
        }
    }

    private PemKeyCertOptions key() {
        return new PemKeyCertOptions()
                .addKeyValue(content(settings.getKeyFile()))
                .addCertValue(content(settings.getCertificateFile()));
    }

    private PemTrustOptions trust() {
        return new PemTrustOptions().addCertValue(content(settings.getTrustFile()));
    }

    private static Buffer content(String file) {
        try {
            return Buffer.buffer(Files.readAllBytes(Path.of(file)));
        } catch (IOException e) {
            throw new IllegalArgumentException("cannot read " + file + ": " + e.getMessage(), e);
        }
    }

    private List<FileTime> times() {
        List<FileTime> times = new ArrayList<>();
        times.add(time(settings.getKeyFile()));
        times.add(time(settings.getCertificateFile()));
        if (settings.getTrustFile() != null) {
            times.add(time(settings.getTrustFile()));
        }
        return times;
    }

    private static FileTime time(String file) {
        try {
            return Files.getLastModifiedTime(Path.of(file));
        } catch (IOException e) {
            // A missing file may be in the middle of a replacement.
            return FileTime.fromMillis(0);
        }
    }
}
