package org.verbenatally.http;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * Decides whether the end of a client connection is the end of the response on it. A response with neither a length nor
 * chunks ends with its connection (RFC 9112, section 6.3), and the decoder takes any end of the connection for it. Here
 * it counts only if the request had been written whole, the peer has closed its side in order, and the connection has
 * not failed in either direction. Otherwise the end is withheld, and the reader of the response is told that the
 * connection was lost, as for a response with a length that breaks off.
 *
 * <p>All fields are used on the event loop of the connection only.
 */
final class ResponseEndGuard {
    /** Name of a handler in each pipeline that has this guard. */
    static final String NAME = "response end";

    /** A reset that follows the end of the peer's side is received within this time. */
    private static final Duration RESET_DELAY = Duration.ofMillis(5);

    /** Whether the last part of the latest request was written to the channel, which may still hold it. */
    private boolean requestEnded;
    /** Whether the head of a final response was received, and its end was not. */
    private boolean responseOpen;
    /** Whether an error was reported for the connection. */
    private boolean failed;
    /** Whether the connection has ended, so that what the decoder still reports is due to that. */
    private boolean ended;
    /** Whether the end of the connection is that of the open response. */
    private boolean confirmed;

    /** Adds the handlers of this guard to a pipeline, around its codec. */
    void addTo(ChannelPipeline pipeline, String codec) {
        // Without this option, the channel is closed before the guard has learnt why.
        pipeline.channel().config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
        pipeline.addBefore(codec, "connection end", new ConnectionHandler());
        pipeline.addAfter(codec, NAME, new MessageHandler());
    }

    /** Learns how the connection ends, before the decoder does. */
    private final class ConnectionHandler extends ChannelInboundHandlerAdapter {

        /** Closes the connection once the peer has closed its side, which is what happens without half-closure. */
        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
            if (!(event instanceof ChannelInputShutdownEvent)) {
                super.userEventTriggered(context, event);
                return;
            }
            if (responseOpen && mayEndResponse(context.channel())) {
                context.executor()
                        .schedule(() -> confirmAndClose(context), RESET_DELAY.toMillis(), TimeUnit.MILLISECONDS);
            } else {
                context.close();
            }
        }

        private void confirmAndClose(ChannelHandlerContext context) {
            confirmed = mayEndResponse(context.channel()) && !SocketErrors.isPending(context.channel());
            context.close();
        }

        /** Returns whether the request was written whole, and no error reported. */
        private boolean mayEndResponse(Channel channel) {
            ChannelOutboundBuffer unwritten = channel.unsafe().outboundBuffer();
            return requestEnded && unwritten != null && unwritten.totalPendingWriteBytes() == 0 && !failed;
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) throws Exception {
            failed = true;
            super.exceptionCaught(context, cause);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) throws Exception {
            ended = true;
            super.channelInactive(context);
        }
    }

    /** Follows requests and responses, and withholds the end of a response that is not confirmed. */
    private final class MessageHandler extends ChannelDuplexHandler {

        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) throws Exception {
            if (message instanceof HttpRequest || message instanceof LastHttpContent) {
                requestEnded = message instanceof LastHttpContent;
            }
            super.write(context, message, promise);
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
            if (message instanceof HttpResponse response) {
                responseOpen = response.status().codeClass() != HttpStatusClass.INFORMATIONAL;
            }
            if (message instanceof LastHttpContent) {
                if (responseOpen && ended && !confirmed) {
                    ReferenceCountUtil.release(message);
                    context.fireExceptionCaught(new IOException("connection ended within the response"));
                    return;
                }
                responseOpen = false;
            }
            super.channelRead(context, message);
        }
    }
}
