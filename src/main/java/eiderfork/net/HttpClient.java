package eiderfork.net;

import eiderfork.config.Settings.Endpoint;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpContentException;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * HTTP client that reuses idle connections. Not thread-safe; connections and callbacks run on a
 * single event loop.
 */
public final class HttpClient {
  /**
   * Maximum size of a response body. A page of the store holds half a mebibyte of values; only the
   * response to a watch that lags far behind is larger.
   */
  static final int MAX_BODY_BYTES = 8 * 1024 * 1024;

  /** Pseudo status: no response arrived before the timeout, or the connection failed. */
  public static final int STATUS_NONE = 0;

  /** Pseudo status: the response body exceeds the maximum size. */
  public static final int STATUS_OVERSIZED = -1;

  /** Delay of at least one event loop iteration, in which responses that have arrived are read. */
  private static final long READ_GRACE_MS = 1;

  private static final byte[] EMPTY_BODY = new byte[0];

  /** Callback for the response to a request. */
  public interface ResponseListener {
    /**
     * Handles a response.
     *
     * @param status the HTTP status, {@link #STATUS_NONE} or {@link #STATUS_OVERSIZED}
     */
    void onResponse(int status, byte[] body);
  }

  private final EventLoop loop;
  private final Bootstrap bootstrap;
  private final IdleConnections idleConnections;

  /** Creates a client that keeps up to {@code maxIdleConnections} idle connections open. */
  public HttpClient(EventLoop loop, int maxIdleConnections) {
    this(loop, maxIdleConnections, channel -> {});
  }

  /**
   * Creates a client that passes each new channel to {@code onNewChannel} before anything is sent
   * on it.
   */
  public HttpClient(EventLoop loop, int maxIdleConnections, Consumer<Channel> onNewChannel) {
    this.loop = loop;
    idleConnections = new IdleConnections(maxIdleConnections);
    bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            // A response may have arrived even if writing the request fails.
            .option(ChannelOption.AUTO_CLOSE, false)
            .handler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    onNewChannel.accept(channel);
                    channel
                        .pipeline()
                        .addLast(new HttpClientCodec())
                        .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
                        .addLast(new ResponseHandler());
                  }
                });
  }

  /**
   * Sends a request; the listener gets {@link #STATUS_NONE} if there is no response within {@code
   * timeoutMs}.
   *
   * @param body the JSON body, or null for none
   */
  public void send(
      Endpoint endpoint,
      String method,
      String path,
      byte[] body,
      long timeoutMs,
      ResponseListener listener) {
    PendingRequest request = new PendingRequest(endpoint, method, path, body, listener);
    request.timeoutTask = loop.schedule(() -> onTimeout(request), timeoutMs, TimeUnit.MILLISECONDS);
    Channel channel = idleConnections.take(endpoint);
    if (channel != null) {
      request.sendOn(channel);
    } else {
      connect(request);
    }
  }

  /**
   * Defers the failure of the request by one event loop iteration: if the loop is late, a response
   * that arrived in time has yet to be read.
   */
  private void onTimeout(PendingRequest request) {
    request.timeoutTask = loop.schedule(request::fail, READ_GRACE_MS, TimeUnit.MILLISECONDS);
  }

  private void connect(PendingRequest request) {
    ChannelFuture connectFuture =
        bootstrap.connect(request.endpoint.host(), request.endpoint.port());
    request.channel = connectFuture.channel();
    connectFuture.addListener(
        done -> {
          if (request.isCompleted) {
            connectFuture.channel().close();
          } else if (done.isSuccess()) {
            request.sendOn(connectFuture.channel());
          } else {
            request.complete(STATUS_NONE, EMPTY_BODY);
          }
        });
  }

  /** Closes connections that have been idle for too long. */
  public void closeExpired() {
    idleConnections.closeExpired();
  }

  private static final class PendingRequest {
    private final Endpoint endpoint;
    private final String method;
    private final String path;
    private final byte[] body;
    private final ResponseListener listener;
    private Channel channel;
    private ChannelFuture writeFuture;
    private ScheduledFuture<?> timeoutTask;
    private boolean isCompleted;

    PendingRequest(
        Endpoint endpoint, String method, String path, byte[] body, ResponseListener listener) {
      this.endpoint = endpoint;
      this.method = method;
      this.path = path;
      this.body = body;
      this.listener = listener;
    }

    void sendOn(Channel openChannel) {
      channel = openChannel;
      channel.pipeline().get(ResponseHandler.class).pending = this;
      writeFuture = channel.writeAndFlush(toHttp());
    }

    private FullHttpRequest toHttp() {
      byte[] content = body == null ? EMPTY_BODY : body;
      var request =
          new DefaultFullHttpRequest(
              HttpVersion.HTTP_1_1,
              HttpMethod.valueOf(method),
              path,
              Unpooled.wrappedBuffer(content));
      request.headers().set(HttpHeaderNames.HOST, endpoint.toString());
      if (body != null) {
        request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
      }
      request.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, content.length);
      return request;
    }

    void fail() {
      if (channel != null) {
        channel.close();
      }
      complete(STATUS_NONE, EMPTY_BODY);
    }

    void complete(int status, byte[] responseBody) {
      if (!isCompleted) {
        isCompleted = true;
        timeoutTask.cancel(false);
        listener.onResponse(status, responseBody);
      }
    }
  }

  private final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
    private PendingRequest pending;

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
      PendingRequest request = pending;
      pending = null;
      if (request == null) {
        context.close();
      } else if (!response.decoderResult().isSuccess()) {
        context.close();
        request.complete(STATUS_NONE, EMPTY_BODY);
      } else {
        complete(request, context, response);
      }
    }

    private void complete(
        PendingRequest request, ChannelHandlerContext context, FullHttpResponse response) {
      byte[] body = ByteBufUtil.getBytes(response.content());
      if (HttpUtil.isKeepAlive(response) && request.writeFuture.isSuccess()) {
        idleConnections.add(request.endpoint, context.channel());
      } else {
        context.close();
      }
      request.complete(response.status().code(), body);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      if (pending != null) {
        pending.complete(STATUS_NONE, EMPTY_BODY);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      if (pending != null && cause instanceof TooLongHttpContentException) {
        pending.complete(STATUS_OVERSIZED, EMPTY_BODY);
      }
      context.close();
    }
  }
}
