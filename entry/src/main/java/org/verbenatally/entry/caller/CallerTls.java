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

/** TLS of the callers' listener. Changed files are reloaded, so certificates can be renewed without a restart. */
final class CallerTls {
    private static final Logger LOG = Logger.getLogger(CallerTls.class);

    private final TlsSettings settings;
    private final List<HttpServer> servers = new ArrayList<>();
    private List<FileTime> loadedTimes;

    CallerTls(TlsSettings settings) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.loadedTimes = modificationTimes();
    }

    /** Adds the key, the certificate and the accepted issuers to the options of a server. */
    HttpServerOptions apply(HttpServerOptions options) {
        options.setSsl(true).setKeyCertOptions(keyCertOptions());
        if (settings.getTrustFile() != null) {
            options.setClientAuth(ClientAuth.REQUIRED).setTrustOptions(trustOptions());
        }
        return options;
    }

    /** Registers a server that takes reloaded certificates. */
    synchronized void addServer(HttpServer server) {
        servers.add(server);
    }

    /** Reloads the files if one has changed. If they cannot be read or used, the previous ones stay in use. */
    synchronized void reloadIfChanged() {
        List<FileTime> now = modificationTimes();
        if (now.equals(loadedTimes)) {
            return;
        }
        loadedTimes = now;
        try {
            ServerSSLOptions options = new ServerSSLOptions().setKeyCertOptions(keyCertOptions());
            if (settings.getTrustFile() != null) {
                options.setClientAuth(ClientAuth.REQUIRED).setTrustOptions(trustOptions());
            }
            servers.forEach(server -> server.updateSSLOptions(options)
                    .onSuccess(updated -> LOG.info("caller: the certificate was reloaded"))
                    .onFailure(e -> LOG.warnf("caller: the new certificate cannot be used: %s", e.getMessage())));
        } catch (IllegalArgumentException e) {
            LOG.warnf("caller: the new certificate cannot be read: %s", e.getMessage());
        }
    }

    private PemKeyCertOptions keyCertOptions() {
        return new PemKeyCertOptions()
                .addKeyValue(read(settings.getKeyFile()))
                .addCertValue(read(settings.getCertificateFile()));
    }

    private PemTrustOptions trustOptions() {
        return new PemTrustOptions().addCertValue(read(settings.getTrustFile()));
    }

    private static Buffer read(String file) {
        try {
            return Buffer.buffer(Files.readAllBytes(Path.of(file)));
        } catch (IOException e) {
            throw new IllegalArgumentException("cannot read " + file + ": " + e.getMessage(), e);
        }
    }

    private List<FileTime> modificationTimes() {
        List<FileTime> times = new ArrayList<>();
        times.add(modificationTime(settings.getKeyFile()));
        times.add(modificationTime(settings.getCertificateFile()));
        if (settings.getTrustFile() != null) {
            times.add(modificationTime(settings.getTrustFile()));
        }
        return times;
    }

    private static FileTime modificationTime(String file) {
        try {
            return Files.getLastModifiedTime(Path.of(file));
        } catch (IOException e) {
            // The file may be missing because it is being replaced.
            return FileTime.fromMillis(0);
        }
    }
}
