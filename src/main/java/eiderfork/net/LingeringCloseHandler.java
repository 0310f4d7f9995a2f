package eiderfork.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.SocketAddress;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Closes a server's connection in stages (lingering close, RFC 9112, section 9.6): after the last
 * response the server closes only its write side, then reads and discards input until the peer
 * closes or a limit is reached. Closing with unread bytes would reset the connection, and a peer
 * that is still sending would lose its response.
 *
 * <p>Must be the first handler in the pipeline, so that bytes after the last request are not
 * parsed.
 */
final class LingeringCloseHandler extends ChannelInboundHandlerAdapter {
  private static final Logger LOG = LoggerFactory.getLogger(LingeringCloseHandler.class);

  /** Final state of a connection that this server decided to close. */
  private enum Outcome {
    PEER_CLOSED,
    RESPONSE_NOT_WRITTEN,
    TIMED_OUT,
    TOO_MANY_BYTES,
    TOO_MANY_CONNECTIONS,
    CLOSED_AT_ONCE
  }

  private final SocketChannel channel;
  private final LingeringConnections lingering;

  /** Null as long as requests are served. */
  private CloseReason reason;

  private Outcome outcome = Outcome.PEER_CLOSED;
  private SocketAddress remoteAddress;
  private long readBytes;
  private long discardedBytes;
  private ScheduledFuture<?> timeout;

  LingeringCloseHandler(SocketChannel channel, LingeringConnections lingering) {
    this.channel = channel;
    this.lingering = lingering;
  }

  /** Returns whether requests on this connection are still served. */
  boolean isServing() {
    return reason == null;
  }

  /** Discards all further input; a response may still be pending. */
  void stopServing(CloseReason closeReason) {
    if (isServing()) {
      reason = closeReason;
      remoteAddress = channel.remoteAddress();
    }
  }

  /** Starts the lingering close when the last response has been written. */
  void closeAfter(ChannelFuture lastResponse) {
    lastResponse.addListener(
        written -> {
          if (written.isSuccess()) {
            linger();
          } else {
            close(Outcome.RESPONSE_NOT_WRITTEN);
          }
        });
  }

  /** Closes the connection immediately, without a response. */
  void abort() {
    stopServing(CloseReason.FAILED);
    close(Outcome.CLOSED_AT_ONCE);
  }

  /** Closes the connection because too many connections are in lingering close. */
  void evict() {
    channel.eventLoop().execute(() -> close(Outcome.TOO_MANY_CONNECTIONS));
  }

  private void linger() {
    channel
        .shutdownOutput()
        .addListener(
            done -> {
              if (done.isSuccess()) {
                awaitPeerClose();
              } else {
                close(Outcome.CLOSED_AT_ONCE);
              }
            });
  }

  private void awaitPeerClose() {
    if (!channel.isActive()) {
      return;
    }
    timeout =
        channel
            .eventLoop()
            .schedule(
                () -> close(Outcome.TIMED_OUT),
                lingering.limits().timeoutMs(),
                TimeUnit.MILLISECONDS);
    lingering.add(this);
  }

  private void close(Outcome closeOutcome) {
    if (channel.isOpen()) {
      outcome = closeOutcome;
      channel.close();
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    ByteBuf bytes = (ByteBuf) message;
    readBytes += bytes.readableBytes();
    if (isServing()) {
      context.fireChannelRead(message);
    } else {
      discard(bytes);
    }
  }

  private void discard(ByteBuf bytes) {
    discardedBytes += bytes.readableBytes();
    bytes.release();
    if (discardedBytes > lingering.limits().maxDiscardedBytes()) {
      close(Outcome.TOO_MANY_BYTES);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    if (timeout != null) {
      timeout.cancel(false);
      lingering.remove(this);
    }
    if (!isServing()) {
      LOG.debug(
          "connection-closed remote={} reason={} outcome={} readBytes={} discardedBytes={}",
          remoteAddress,
          reason,
          outcome,
          readBytes,
          discardedBytes);
    }
    context.fireChannelInactive();
  }
}
