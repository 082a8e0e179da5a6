package org.verbenatally.peer;

import io.vertx.core.http.ClientAuth;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.PemKeyCertOptions;
import io.vertx.core.net.PemTrustOptions;
import org.verbenatally.settings.TlsSettings;

/** Socket options of peer links, with mutual TLS if the settings require it. */
final class PeerTls {
    /** Connect timeout. Peers have short round trips, so a connection that takes longer will not be established. */
    private static final int CONNECT_TIMEOUT_MS = 1_000;

    private PeerTls() {}

    static NetClientOptions client(PeerOptions options) {
        var result =
                new NetClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MS).setTcpNoDelay(true);
        // Peers are addressed by IP number, so they are verified by the issuer of their certificate, not by host name.
        result.setHostnameVerificationAlgorithm("");
        options.tls().ifPresent(tls -> {
            result.setSsl(true).setKeyCertOptions(key(tls));
            if (tls.getTrustFile() != null) {
                result.setTrustOptions(new PemTrustOptions().addCertPath(tls.getTrustFile()));
            }
        });
        return result;
    }

    static NetServerOptions server(PeerOptions options) {
        var result = new NetServerOptions().setTcpNoDelay(true);
        options.tls().ifPresent(tls -> {
            result.setSsl(true).setKeyCertOptions(key(tls)).setClientAuth(ClientAuth.REQUIRED);
            if (tls.getTrustFile() != null) {
                result.setTrustOptions(new PemTrustOptions().addCertPath(tls.getTrustFile()));
            }
        });
        return result;
    }

    private static PemKeyCertOptions key(TlsSettings tls) {
        return new PemKeyCertOptions().addKeyPath(tls.getKeyFile()).addCertPath(tls.getCertificateFile());
    }
}
