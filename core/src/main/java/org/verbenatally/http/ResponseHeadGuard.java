package org.verbenatally.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Rejects responses whose heads have malformed field names, as the decoder does with other malformed heads: the
 * exchange fails and its connection is closed. Used on the event loop of the connection only.
 */
final class ResponseHeadGuard {
    private final FieldNameChecker names = new FieldNameChecker();

    /** Adds the handlers of this guard to a pipeline, around its codec. */
    void addTo(ChannelPipeline pipeline, String codec) {
        pipeline.addBefore(codec, "response head bytes", new ByteHandler());
        pipeline.addAfter(codec, "response head", new MessageHandler());
    }

    /** Reads the heads as they were received. */
    private final class ByteHandler extends ChannelInboundHandlerAdapter {

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
            if (message instanceof ByteBuf bytes) {
                bytes.forEachByte(names);
            }
            super.channelRead(context, message);
        }
    }

    /** Follows requests, and marks the decoded heads that must not be used. */
    private final class MessageHandler extends ChannelDuplexHandler {

        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) throws Exception {
            if (message instanceof HttpRequest) {
                names.onRequest();
            }
            super.write(context, message, promise);
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
            if (message instanceof HttpResponse response && names.isMalformed()) {
                response.setDecoderResult(
                        DecoderResult.failure(new IllegalArgumentException("malformed field name in the response")));
            }
            super.channelRead(context, message);
        }
    }
}
