package org.verbenatally.peer;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import io.vertx.core.parsetools.RecordParser;
import org.verbenatally.config.ConfigReader;
import org.verbenatally.core.Address;
import org.verbenatally.core.ConfigVersion;
import org.verbenatally.core.FailureDomain;
import org.verbenatally.core.Incarnation;
import org.verbenatally.core.InstanceId;
import org.verbenatally.wire.ConfigDocument;
import org.verbenatally.wire.Gossip;
import org.verbenatally.wire.Hello;
import org.verbenatally.wire.MemberState;
import org.verbenatally.wire.PeerFrame;

/** A peer that sends the frames chosen by a test and responds to requests for its deployment document. */
final class ScriptedPeer implements AutoCloseable {
    private final Vertx vertx;
    private final String id;
    private final long version;
    private final byte[] document;
    private final NetServer server;
    private final CompletableFuture<Consumer<Connection>> script = new CompletableFuture<>();

    /** A connection on which this peer has sent its hello. */
    final class Connection {
        private final NetSocket socket;

        private Connection(NetSocket socket) {
            this.socket = socket;
            var parser = RecordParser.newFixed(FrameCodec.LENGTH_BYTES);
            boolean[] inBody = {false};
            parser.handler(bytes -> {
                inBody[0] = !inBody[0];
                if (inBody[0]) {
                    parser.fixedSizeMode(bytes.getInt(0));
                } else {
                    parser.fixedSizeMode(FrameCodec.LENGTH_BYTES);
                    receive(bytes);
                }
            });
            socket.handler(parser);
            send(PeerFrame.hello(new Hello(Links.PROTOCOL, id, 1, "Bole", Fleet.DEPLOYMENT)));
        }

        private void receive(io.vertx.core.buffer.Buffer bytes) {
            try {
                if (FrameCodec.decode(bytes).isSetConfigRequest()) {
                    send(PeerFrame.configDocument(new ConfigDocument(
                            version,
                            ByteBuffer.wrap(ConfigReader.digest(document)),
                            ByteBuffer.wrap(FrameCodec.deflate(document)))));
                }
            } catch (FrameCodec.BadFrameException e) {
                throw new IllegalStateException(e);
            }
        }

        private void send(PeerFrame frame) {
            try {
                socket.write(FrameCodec.encode(frame));
            } catch (FrameCodec.BadFrameException e) {
                throw new IllegalStateException(e);
            }
        }

        /** Sends the member record of this peer and the version of its document. */
        void sendVersion() {
            var run = new MemberRecord.Run(new InstanceId(id), new Incarnation(1));
            var ownRecord = new MemberRecord(
                    run,
                    address(),
                    new FailureDomain("Bole"),
                    MemberRecord.DEFAULT_REGION,
                    MemberState.LIVE,
                    1,
                    new ConfigVersion(version),
                    Optional.empty());
            var gossip = new Gossip(
                    List.of(ownRecord.toWire()),
                    List.of(),
                    List.of(),
                    List.of(),
                    version,
                    ByteBuffer.wrap(ConfigReader.digest(document)));
            gossip.setMembersOnly(true);
            send(PeerFrame.gossip(gossip));
        }

        void close() {
            socket.close();
        }
    }

    ScriptedPeer(Vertx vertx, String id, long version, byte[] document) throws Exception {
        this.vertx = vertx;
        this.id = id;
        this.version = version;
        this.document = document;
        server = vertx.createNetServer().connectHandler(socket -> {
            var connection = new Connection(socket);
            script.thenAccept(s -> s.accept(connection));
        });
        server.listen(0, "127.0.0.1").toCompletionStage().toCompletableFuture().get(30, TimeUnit.SECONDS);
    }

    Address address() {
        return new Address("127.0.0.1", server.actualPort());
    }

    /** Sets the action for each connection that another instance opens, including those already waiting for it. */
    void onConnection(Consumer<Connection> action) {
        script.complete(action);
    }

    /** Opens a connection to another instance. */
    CompletableFuture<Connection> dial(Address address) {
        return vertx.createNetClient()
                .connect(address.port(), address.host())
                .map(Connection::new)
                .toCompletionStage()
                .toCompletableFuture();
    }

    @Override
    public void close() throws Exception {
        server.close().toCompletionStage().toCompletableFuture().get(30, TimeUnit.SECONDS);
    }
}
