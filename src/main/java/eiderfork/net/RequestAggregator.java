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
 * Puts requests together with their bodies, and refuses those whose body is too large or whose
 * expectation can't be met before the rest of them is read.
 */
final class RequestAggregator extends HttpObjectAggregator {
  /** The protocol's limit on a request body. */
  static final int MAX_BODY_BYTES = 64 * 1024;

  private static final byte[] EMPTY_BODY = new byte[0];

  private final LingeringCloseHandler closer;

  RequestAggregator(LingeringCloseHandler closer) {
    super(MAX_BODY_BYTES);
    this.closer = closer;
  }

  /** Drops what the decoder had already read behind the last request. */
  @Override
  protected void decode(ChannelHandlerContext context, HttpObject message, List<Object> out)
      throws Exception {
    if (closer.isServing()) {
      super.decode(context, message, out);
    }
  }

  /**
   * No response for an expectation that is refused; {@link #handleOversizedMessage} gives the final
   * one. The base class would answer an oversized body with 413, which users repeat, and would take
   * the body for another request.
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
      closer.stopServing(CloseReason.UNSUPPORTED_EXPECTATION);
      writeLast(context, HttpResponseStatus.EXPECTATION_FAILED.code(), EMPTY_BODY);
    } else {
      closer.stopServing(CloseReason.OVERSIZED_BODY);
      writeLast(context, HttpStatus.BAD_REQUEST, UserCodec.encodeError("over 64 KiB"));
    }
  }

  private void writeLast(ChannelHandlerContext context, int status, byte[] body) {
    closer.closeAfter(HttpResponseWriter.write(context, status, body, 0, true));
  }
}
