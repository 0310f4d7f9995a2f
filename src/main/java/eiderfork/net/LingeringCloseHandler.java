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
 * Closes a server's connection in stages, as RFC 9112, section 9.6 describes: after the last
 * response the server ends its own direction only, and reads and discards what still comes until
 * the peer closes or a limit is reached. A close with unread bytes would reset the connection, and
 * a peer that is still sending would not look at its response.
 *
 * <p>Stands first in the pipeline, so that bytes after the last request are not parsed.
 */
final class LingeringCloseHandler extends ChannelInboundHandlerAdapter {
  private static final Logger LOG = LoggerFactory.getLogger(LingeringCloseHandler.class);

  /** How a connection that this server wanted to close came to its end. */
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

  /** Null while requests are served. */
  private CloseReason reason;

  private Outcome outcome = Outcome.PEER_CLOSED;
  private SocketAddress remote;
  private long readBytes;
  private long discardedBytes;
  private ScheduledFuture<?> timeout;

  LingeringCloseHandler(SocketChannel channel, LingeringConnections lingering) {
    this.channel = channel;
    this.lingering = lingering;
  }

  /** Whether requests on this connection are still served. */
  boolean isServing() {
    return reason == null;
  }

  /** Discards what comes from now on; a response may still be due. */
  void stopServing(CloseReason why) {
    if (isServing()) {
      reason = why;
      remote = channel.remoteAddress();
    }
  }

  /** Closes the connection after its last response, which is being written. */
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

  /** Closes the connection at once, without a response. */
  void abort() {
    stopServing(CloseReason.FAILED);
    close(Outcome.CLOSED_AT_ONCE);
  }

  /** Closes the connection since too many others wait for their peers' end as well. */
  void evict() {
    channel.eventLoop().execute(() -> close(Outcome.TOO_MANY_CONNECTIONS));
  }

  private void linger() {
    channel
        .shutdownOutput()
        .addListener(
            done -> {
              if (done.isSuccess()) {
                awaitPeer();
              } else {
                close(Outcome.CLOSED_AT_ONCE);
              }
            });
  }

  private void awaitPeer() {
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

  private void close(Outcome how) {
    if (channel.isOpen()) {
      outcome = how;
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
          remote,
          reason,
          outcome,
          readBytes,
          discardedBytes);
    }
    context.fireChannelInactive();
  }
}
