package org.verbenatally.http;

import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;
import org.jboss.logging.Logger;

/** Errors of sockets that neither reading nor writing has reported. */
final class SocketErrors {
    private static final Logger LOG = Logger.getLogger(SocketErrors.class);

    private SocketErrors() {}

    /**
     * Returns whether an error is pending at the socket of a connected channel. A reset that follows the end of the
     * peer's side is such an error: reads go on to report the end, and only writes would fail. Also returns true if the
     * socket cannot be asked.
     */
    static boolean isPending(Channel channel) {
        if (!(channel.unsafe() instanceof AbstractNioChannel.NioUnsafe unsafe)) {
            return !channel.isOpen();
        }
        try (Selector selector = Selector.open()) {
            // A connected channel is selected for this operation only if an error is pending.
            SelectionKey key = unsafe.ch().register(selector, SelectionKey.OP_CONNECT);
            selector.selectNow();
            return key.isConnectable();
        } catch (IOException e) {
            LOG.warnf(
                    "http: cannot ask for errors of the connection to %s: %s", channel.remoteAddress(), e.getMessage());
            return true;
        }
    }
}
