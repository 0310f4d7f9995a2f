package eiderfork.net;

import eiderfork.config.Settings.Endpoint;
import eiderfork.wire.HttpStatus;
import eiderfork.wire.UserCodec;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Serves HTTP on one address. */
public final class HttpServer {
  private static final Logger LOG = LoggerFactory.getLogger(HttpServer.class);

  /** The protocol's limit on a request body. */
  private static final int MAX_BODY_BYTES = 64 * 1024;

  /** A request, and the connection that its response goes to. */
  public static final class Exchange {
    private final String method;
    private final String path;
    private final byte[] body;
    private final ChannelHandlerContext context;
    private final boolean keepAlive;

    private Exchange(ChannelHandlerContext context, FullHttpRequest request) {
      this.context = context;
      method = request.method().name();
      path = request.uri();
      body = ByteBufUtil.getBytes(request.content());
      keepAlive = HttpUtil.isKeepAlive(request);
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
      writeResponse(context, status, response, retryAfterS, keepAlive);
    }
  }

  private final Consumer<Exchange> requestHandler;
  private final int backlog;

  /**
   * Makes a server that hands each request to {@code requestHandler}.
   *
   * @param backlog how many connections may wait to be accepted: every worker and user may connect
   *     to this node at the same moment
   */
  public HttpServer(Consumer<Exchange> requestHandler, int backlog) {
    this.requestHandler = requestHandler;
    this.backlog = backlog;
  }

  /** Listens on the endpoint, any free port for port 0; not to be called on the group's loop. */
  public Channel listen(EventLoopGroup group, Endpoint endpoint) throws InterruptedException {
    return new ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .option(ChannelOption.SO_BACKLOG, backlog)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                channel
                    .pipeline()
                    .addLast(new HttpServerCodec())
                    .addLast(new BodyAggregator())
                    .addLast(new RequestChannelHandler());
              }
            })
        .bind(endpoint.host(), endpoint.port())
        .sync()
        .channel();
  }

  private static void writeResponse(
      ChannelHandlerContext context, int status, byte[] body, int retryAfterS, boolean keepAlive) {
    var response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(body));
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
    response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
    if (retryAfterS > 0) {
      response.headers().setInt(HttpHeaderNames.RETRY_AFTER, retryAfterS);
    }
    if (!keepAlive) {
      response.headers().set(HttpHeaderNames.CONNECTION, "close");
    }
    var written = context.writeAndFlush(response);
    if (!keepAlive) {
      written.addListener(done -> context.close());
    }
  }

  /** Refuses an oversized body as malformed. */
  private static final class BodyAggregator extends HttpObjectAggregator {
    BodyAggregator() {
      super(MAX_BODY_BYTES);
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage message) {
      writeResponse(
          context, HttpStatus.BAD_REQUEST, UserCodec.encodeError("over 64 KiB"), 0, false);
    }
  }

  private final class RequestChannelHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
      if (!request.decoderResult().isSuccess()) {
        writeResponse(context, HttpStatus.BAD_REQUEST, UserCodec.encodeError("not HTTP"), 0, false);
        return;
      }
      requestHandler.accept(new Exchange(context, request));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      LOG.debug(
          "connection-failed remote={} cause=\"{}\"",
          context.channel().remoteAddress(),
          cause.toString());
      context.close();
    }
  }
}
