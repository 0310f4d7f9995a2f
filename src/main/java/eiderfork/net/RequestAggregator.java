package eiderfork.net;

import eiderfork.wire.HttpStatus;
import eiderfork.wire.UserCodec;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpObjectAggregator;
import java.util.List;

/** Puts requests together with their bodies, and refuses those whose body is too large. */
final class RequestAggregator extends HttpObjectAggregator {
  /** The protocol's limit on a request body. */
  static final int MAX_BODY_BYTES = 64 * 1024;

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

  @Override
  protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage message) {
    closer.stopServing(CloseReason.OVERSIZED_BODY);
    byte[] error = UserCodec.encodeError("over 64 KiB");
    closer.closeAfter(HttpResponseWriter.write(context, HttpStatus.BAD_REQUEST, error, 0, true));
  }
}
