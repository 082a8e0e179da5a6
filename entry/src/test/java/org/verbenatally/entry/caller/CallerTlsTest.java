package org.verbenatally.entry.caller;

import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLSocket;
import javax.net.ssl.TrustManager;
import javax.net.ssl.X509TrustManager;

import java.math.BigInteger;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.cert.X509Certificate;
import java.util.Base64;
import java.util.Date;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import org.bouncycastle.asn1.x500.X500Name;
import org.bouncycastle.cert.jcajce.JcaX509v3CertificateBuilder;
import org.bouncycastle.operator.jcajce.JcaContentSignerBuilder;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.verbenatally.settings.TlsSettings;

import static org.assertj.core.api.Assertions.assertThat;

class CallerTlsTest {
    @TempDir
    Path folder;

    private Path key;
    private Path certificate;

    /** Guards against renewed certificates that need a restart, and against an outage caused by a broken file. */
    @Test
    void renewedCertificateIsUsedAndBrokenOneIsNot() throws Exception {
        key = folder.resolve("key.pem");
        certificate = folder.resolve("certificate.pem");
        writeKeyPair(1);
        TlsSettings settings = new TlsSettings();
        settings.setKeyFile(key.toString());
        settings.setCertificateFile(certificate.toString());
        CallerTls tls = new CallerTls(settings);
        Vertx vertx = Vertx.vertx();
        try {
            HttpServer server = vertx.createHttpServer(tls.apply(new HttpServerOptions()));
            int port = server.requestHandler(request -> request.response().end())
                    .listen(0, "127.0.0.1")
                    .toCompletionStage()
                    .toCompletableFuture()
                    .join()
                    .actualPort();
            tls.addServer(server);
            assertThat(presentedSerial(port)).isEqualTo(1);

            writeKeyPair(2);
            tls.reloadIfChanged();
            awaitSerial(port, 2);

            Files.writeString(certificate, "no certificate");
            Files.setLastModifiedTime(certificate, FileTime.fromMillis(3_000));
            tls.reloadIfChanged();
            assertThat(presentedSerial(port)).isEqualTo(2);
        } finally {
            vertx.close().toCompletionStage().toCompletableFuture().join();
        }
    }

    private static void awaitSerial(int port, int expected) throws Exception {
        long deadlineNanos = System.nanoTime() + 20_000_000_000L;
        while (presentedSerial(port) != expected) {
            assertThat(System.nanoTime()).isLessThan(deadlineNanos);
        }
    }

    private void writeKeyPair(int serial) throws Exception {
        KeyPairGenerator generator = KeyPairGenerator.getInstance("RSA");
        generator.initialize(2_048);
        KeyPair pair = generator.generateKeyPair();
        X500Name name = new X500Name("CN=entry");
        byte[] encoded = new JcaX509v3CertificateBuilder(
                        name,
                        BigInteger.valueOf(serial),
                        new Date(System.currentTimeMillis() - 86_400_000L),
                        new Date(System.currentTimeMillis() + 86_400_000L),
                        name,
                        pair.getPublic())
                .build(new JcaContentSignerBuilder("SHA256withRSA").build(pair.getPrivate()))
                .getEncoded();
        writePem(key, "PRIVATE KEY", pair.getPrivate().getEncoded(), serial);
        writePem(certificate, "CERTIFICATE", encoded, serial);
    }

    private static void writePem(Path file, String type, byte[] content, int serial) throws Exception {
        String body = Base64.getMimeEncoder().encodeToString(content);
        Files.writeString(file, "-----BEGIN " + type + "-----\n" + body + "\n-----END " + type + "-----\n");
        Files.setLastModifiedTime(file, FileTime.fromMillis(serial * 1_000L));
    }

    private static int presentedSerial(int port) throws Exception {
        SSLContext context = SSLContext.getInstance("TLS");
        context.init(null, new TrustManager[] {new TrustAll()}, null);
        try (SSLSocket socket = (SSLSocket) context.getSocketFactory().createSocket("127.0.0.1", port)) {
            socket.startHandshake();
            X509Certificate presented = (X509Certificate) socket.getSession().getPeerCertificates()[0];
            return presented.getSerialNumber().intValue();
        }
    }

    private static final class TrustAll implements X509TrustManager {
        @Override
        public void checkClientTrusted(X509Certificate[] chain, String authType) {}

        @Override
        public void checkServerTrusted(X509Certificate[] chain, String authType) {}

        @Override
        public X509Certificate[] getAcceptedIssuers() {
            return new X509Certificate[0];
        }
    }
}
