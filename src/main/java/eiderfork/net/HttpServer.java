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

/** Serves HTTP on one address. */
public final class HttpServer {
  private static final Logger LOG = LoggerFactory.getLogger(HttpServer.class);

  /** A request, and the connection that its response goes to. */
  public static final class Exchange {
    private final String method;
    private final String path;
    private final byte[] body;
    private final ChannelHandlerContext context;
    private final LingeringCloseHandler closer;
    private final boolean isLast;

    private Exchange(
        ChannelHandlerContext context, LingeringCloseHandler closer, FullHttpRequest request) {
      this.context = context;
      this.closer = closer;
      method = request.method().name();
      path = request.uri();
      body = ByteBufUtil.getBytes(request.content());
      isLast = !HttpUtil.isKeepAlive(request);
    }

    /** The HTTP method. */
    public String method() {
      return method;
    }

    /** The path with the query. */
    public String path() {
      return path;
    }

    /** The body; empty for none. */
    public byte[] body() {
      return body;
    }

    /** Answers the request; {@code retryAfterS} 0 is none. */
    public void respond(int status, byte[] response, int retryAfterS) {
      ChannelFuture written =
          HttpResponseWriter.write(context, status, response, retryAfterS, isLast);
      if (isLast) {
        closer.closeAfter(written);
      }
    }
  }

  private final Consumer<Exchange> requestHandler;
  private final int sockets;
  private final LingeringConnections lingering;

  /**
   * Makes a server that hands each request to {@code requestHandler}.
   *
   * @param sockets how many sockets the process has. So many connections may wait to be accepted,
   *     as every worker and user may connect to this node at the same moment; a share of them may
   *     wait for their peers' end
   */
  public HttpServer(Consumer<Exchange> requestHandler, int sockets) {
    this(requestHandler, sockets, LingerLimits.of(sockets));
  }

  HttpServer(Consumer<Exchange> requestHandler, int sockets, LingerLimits limits) {
    this.requestHandler = requestHandler;
    this.sockets = sockets;
    lingering = new LingeringConnections(limits);
  }

  /** How many connections wait for their peers' end. */
  int lingeringConnections() {
    return lingering.count();
  }

  /** Listens on the endpoint, any free port for port 0; not to be called on the group's loop. */
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
    LingeringCloseHandler closer = new LingeringCloseHandler(channel, lingering);
    channel
        .pipeline()
        .addLast(closer)
        .addLast(new HttpServerCodec())
        .addLast(new RequestAggregator(closer))
        .addLast(new RequestChannelHandler(closer));
  }

  private final class RequestChannelHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private final LingeringCloseHandler closer;

    RequestChannelHandler(LingeringCloseHandler closer) {
      this.closer = closer;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
      if (!request.decoderResult().isSuccess()) {
        closer.stopServing(CloseReason.MALFORMED_REQUEST);
        byte[] error = UserCodec.encodeError("not HTTP");
        closer.closeAfter(
            HttpResponseWriter.write(context, HttpStatus.BAD_REQUEST, error, 0, true));
        return;
      }
      if (!HttpUtil.isKeepAlive(request)) {
        closer.stopServing(CloseReason.REQUESTED);
      }
      requestHandler.accept(new Exchange(context, closer, request));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      LOG.debug(
          "connection-failed remote={} cause=\"{}\"",
          context.channel().remoteAddress(),
          cause.toString());
      closer.abort();
    }
  }
}
