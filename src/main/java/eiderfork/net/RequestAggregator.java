package eiderfork.net;

import eiderfork.wire.HttpStatus;
import eiderfork.wire.UserCodec;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;

/**
 * Aggregates requests with their bodies. Rejects a request with an oversized body or an unsupported
 * expectation before the rest of it is read.
 */
final class RequestAggregator extends HttpObjectAggregator {
  /** Maximum size of a request body in the protocol. */
  static final int MAX_BODY_BYTES = 64 * 1024;

  private static final byte[] EMPTY_BODY = new byte[0];

  private final LingeringCloseHandler closeHandler;

  RequestAggregator(LingeringCloseHandler closeHandler) {
    super(MAX_BODY_BYTES);
    this.closeHandler = closeHandler;
  }

  /** Drops messages that the decoder had already parsed after the last request. */
  @Override
  protected void decode(ChannelHandlerContext context, HttpObject message, List<Object> out)
      throws Exception {
    if (closeHandler.isServing()) {
      super.decode(context, message, out);
    }
  }

  /**
   * Returns null for a rejected expectation, because {@link #handleOversizedMessage} writes the
   * final response. The base class would respond to an oversized body with 413, which users retry,
   * and would parse the body as another request.
   */
  @Override
  protected Object newContinueResponse(
      HttpMessage start, int maxContentLength, ChannelPipeline pipeline) {
    return isContentLengthInvalid(start, maxContentLength)
        ? null
        : super.newContinueResponse(start, maxContentLength, pipeline);
  }

  @Override
  protected boolean isContentLengthInvalid(HttpMessage start, int maxContentLength) {
    return hasUnsupportedExpectation(start)
        || super.isContentLengthInvalid(start, maxContentLength);
  }

  private static boolean hasUnsupportedExpectation(HttpMessage message) {
    String expectation = message.headers().get(HttpHeaderNames.EXPECT);
    return expectation != null
        && message.protocolVersion().compareTo(HttpVersion.HTTP_1_1) >= 0
        && !HttpHeaderValues.CONTINUE.toString().equalsIgnoreCase(expectation);
  }

  @Override
  protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage message) {
    if (hasUnsupportedExpectation(message)) {
      closeHandler.stopServing(CloseReason.UNSUPPORTED_EXPECTATION);
      writeLastResponse(context, HttpResponseStatus.EXPECTATION_FAILED.code(), EMPTY_BODY);
    } else {
      closeHandler.stopServing(CloseReason.OVERSIZED_BODY);
      writeLastResponse(context, HttpStatus.BAD_REQUEST, UserCodec.encodeError("over 64 KiB"));
    }
  }

  private void writeLastResponse(ChannelHandlerContext context, int status, byte[] body) {
    closeHandler.closeAfter(HttpResponseWriter.write(context, status, body, 0, true));
  }
}
