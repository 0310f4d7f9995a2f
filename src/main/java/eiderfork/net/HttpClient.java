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

/** Sends HTTP requests, on idle connections where there are any. All on one event loop. */
public final class HttpClient {
  /**
   * The largest response taken. A page of the store holds half a mebibyte of values; only a watch
   * that lags far behind is answered with more.
   */
  static final int MAX_BODY_BYTES = 8 * 1024 * 1024;

  /** The status that stands for no response in time or at all. */
  public static final int STATUS_NONE = 0;

  /** The status that stands for a response that is too large. */
  public static final int STATUS_OVERSIZED = -1;

  /** At least one turn of the event loop, in which it reads what has arrived. */
  private static final long LAST_READ_MS = 1;

  private static final byte[] EMPTY_BODY = new byte[0];

  /** Takes a response. */
  public interface ResponseListener {
    /** Takes the HTTP status, {@link #STATUS_NONE} or {@link #STATUS_OVERSIZED}, and the body. */
    void onResponse(int status, byte[] body);
  }

  private final EventLoop loop;
  private final Bootstrap bootstrap;
  private final IdleConnections idleConnections;

  /**
   * Makes a client that keeps up to {@code maxIdle} connections open while no request uses them.
   */
  public HttpClient(EventLoop loop, int maxIdle) {
    this(loop, maxIdle, channel -> {});
  }

  /** Makes a client that shows each new connection before anything is sent on it. */
  public HttpClient(EventLoop loop, int maxIdle, Consumer<Channel> onOpened) {
    this.loop = loop;
    idleConnections = new IdleConnections(maxIdle);
    bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            // A response may have arrived although the request can't be written any more.
            .option(ChannelOption.AUTO_CLOSE, false)
            .handler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    onOpened.accept(channel);
                    channel
                        .pipeline()
                        .addLast(new HttpClientCodec())
                        .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
                        .addLast(new ResponseHandler());
                  }
                });
  }

  /**
   * Sends a request, which has {@code timeoutMs} until its response is given up.
   *
   * @param body null for none
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
   * The loop may be late: a response that arrived in time is read before the request is given up.
   */
  private void onTimeout(PendingRequest request) {
    request.timeoutTask = loop.schedule(request::giveUp, LAST_READ_MS, TimeUnit.MILLISECONDS);
  }

  private void connect(PendingRequest request) {
    ChannelFuture connected = bootstrap.connect(request.endpoint.host(), request.endpoint.port());
    request.channel = connected.channel();
    connected.addListener(
        done -> {
          if (request.isCompleted) {
            connected.channel().close();
          } else if (done.isSuccess()) {
            request.sendOn(connected.channel());
          } else {
            request.complete(STATUS_NONE, EMPTY_BODY);
          }
        });
  }

  /** Closes connections that no request used for a while. */
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
    private ChannelFuture written;
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
      written = channel.writeAndFlush(toHttp());
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

    void giveUp() {
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
      if (HttpUtil.isKeepAlive(response) && request.written.isSuccess()) {
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
