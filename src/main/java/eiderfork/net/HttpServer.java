package eiderfork.net;

import eiderfork.config.Settings.Endpoint;
import eiderfork.wire.HttpStatus;
import eiderfork.wire.UserCodec;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** HTTP server that passes complete requests to a handler. */
public final class HttpServer {
  private static final Logger LOG = LoggerFactory.getLogger(HttpServer.class);

  /** A request and the means to respond to it. */
  public static final class Exchange {
    private final String method;
    private final String path;
    private final byte[] body;
    private final ChannelHandlerContext context;
    private final LingeringCloseHandler closeHandler;
    private final boolean isLast;

    private Exchange(
        ChannelHandlerContext context,
        LingeringCloseHandler closeHandler,
        FullHttpRequest request) {
      this.context = context;
      this.closeHandler = closeHandler;
      method = request.method().name();
      path = request.uri();
      body = ByteBufUtil.getBytes(request.content());
      isLast = !HttpUtil.isKeepAlive(request);
    }

    /** Returns the HTTP method. */
    public String method() {
      return method;
    }

    /** Returns the path, including the query. */
    public String path() {
      return path;
    }

    /** Returns the body; empty if there is none. */
    public byte[] body() {
      return body;
    }

    /** Sends the response; {@code retryAfterS} is 0 for no {@code Retry-After} header. */
    public void respond(int status, byte[] response, int retryAfterS) {
      ChannelFuture writeFuture =
          HttpResponseWriter.write(context, status, response, retryAfterS, isLast);
      if (isLast) {
        closeHandler.closeAfter(writeFuture);
      }
    }
  }

  private final Consumer<Exchange> requestHandler;
  private final int sockets;
  private final LingeringConnections lingering;

  /**
   * Creates a server that passes each request to {@code requestHandler}.
   *
   * @param sockets number of sockets available to the process. The accept backlog has this size,
   *     because every worker and user may connect to this node at the same moment; a share of the
   *     sockets may be in lingering close
   */
  public HttpServer(Consumer<Exchange> requestHandler, int sockets) {
    this(requestHandler, sockets, LingerLimits.of(sockets));
  }

  HttpServer(Consumer<Exchange> requestHandler, int sockets, LingerLimits limits) {
    this.requestHandler = requestHandler;
    this.sockets = sockets;
    lingering = new LingeringConnections(limits);
  }

  /** Returns the number of connections in lingering close. */
  int lingeringConnections() {
    return lingering.count();
  }

  /**
   * Listens on the endpoint; port 0 selects any free port. Blocks, so it must not be called on an
   * event loop of the group.
   */
  public Channel listen(EventLoopGroup group, Endpoint endpoint) throws InterruptedException {
    return new ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .option(ChannelOption.SO_BACKLOG, sockets)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                initialize(channel);
              }
            })
        .bind(endpoint.host(), endpoint.port())
        .sync()
        .channel();
  }

  private void initialize(SocketChannel channel) {
    LingeringCloseHandler closeHandler = new LingeringCloseHandler(channel, lingering);
    channel
        .pipeline()
        .addLast(closeHandler)
        .addLast(new HttpServerCodec())
        .addLast(new RequestAggregator(closeHandler))
        .addLast(new RequestChannelHandler(closeHandler));
  }

  private final class RequestChannelHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private final LingeringCloseHandler closeHandler;

    RequestChannelHandler(LingeringCloseHandler closeHandler) {
      this.closeHandler = closeHandler;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
      if (!request.decoderResult().isSuccess()) {
        closeHandler.stopServing(CloseReason.MALFORMED_REQUEST);
        byte[] error = UserCodec.encodeError("not HTTP");
        closeHandler.closeAfter(
            HttpResponseWriter.write(context, HttpStatus.BAD_REQUEST, error, 0, true));
        return;
      }
      if (!HttpUtil.isKeepAlive(request)) {
        closeHandler.stopServing(CloseReason.REQUESTED);
      }
      requestHandler.accept(new Exchange(context, closeHandler, request));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      LOG.debug(
          "connection-failed remote={} cause=\"{}\"",
          context.channel().remoteAddress(),
          cause.toString());
      closeHandler.abort();
    }
  }
}
