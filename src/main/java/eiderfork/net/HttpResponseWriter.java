package eiderfork.net;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;

/** Writes a server's responses. */
final class HttpResponseWriter {
  private HttpResponseWriter() {}

  /**
   * Writes a response.
   *
   * @param retryAfterS 0 for none
   * @param isLast whether it is the last one of its connection
   */
  static ChannelFuture write(
      ChannelHandlerContext context, int status, byte[] body, int retryAfterS, boolean isLast) {
    var response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(body));
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
    response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
    if (retryAfterS > 0) {
      response.headers().setInt(HttpHeaderNames.RETRY_AFTER, retryAfterS);
    }
    if (isLast) {
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    return context.writeAndFlush(response);
  }
}
