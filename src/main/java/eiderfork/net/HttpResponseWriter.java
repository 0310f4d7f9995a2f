package eiderfork.net;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;

/** Encodes and writes the responses of {@link HttpServer}. */
final class HttpResponseWriter {
  private HttpResponseWriter() {}

  /**
   * Writes a response.
   *
   * @param retryAfterS the {@code Retry-After} header in seconds; 0 for no header
   * @param isLast whether to announce that the connection closes after this response
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
