package eiderfork.loadtest;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;

/** Counts the bytes that a cell's workers send and receive, including HTTP but not TCP headers. */
@ChannelHandler.Sharable
final class ByteCounter extends ChannelDuplexHandler {
  private final CellCounters counters;

  ByteCounter(CellCounters counters) {
    this.counters = counters;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (message instanceof ByteBuf bytes) {
      counters.reportBytesIn += bytes.readableBytes();
    }
    context.fireChannelRead(message);
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    if (message instanceof ByteBuf bytes) {
      counters.reportBytesOut += bytes.readableBytes();
    }
    context.write(message, promise);
  }
}
