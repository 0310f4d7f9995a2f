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
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpContentException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Sends HTTP requests, on kept connections where there are any. All on one event loop. */
public final class HttpClient {
  /**
   * The largest response taken. A page of the state service holds half a mebibyte of values; only a
   * watch that lags far behind is answered with more, see {@link #STATUS_OVERSIZED}.
   */
  static final int MAX_BODY_BYTES = 8 * 1024 * 1024;

  /** The status that stands for a response that is larger than that. */
  public static final int STATUS_OVERSIZED = -1;

  /** The part of all kept connections that may be open to one address. */
  private static final int PER_ENDPOINT_DIVISOR = 8;

  /** Connections that may be kept open to one address however few are kept in all. */
  private static final int MIN_IDLE_PER_ENDPOINT = 4;

  /** Unused connections are closed after this long. */
  private static final long IDLE_TIMEOUT_MS = 20_000;

  /**
   * Takes a response; status 0 is none in time or at all, {@link #STATUS_OVERSIZED} one too large.
   */
  public interface ResponseListener {
    /** Takes the response. */
    void onResponse(int status, byte[] body);
  }

  private record IdleConnection(Endpoint endpoint, Channel channel, long idleSinceMs) {}

  private final EventLoop loop;
  private final Bootstrap bootstrap;
  private final Map<Endpoint, Deque<IdleConnection>> idleByEndpoint = new HashMap<>();

  /** All kept connections, the one longest unused first. */
  private final Set<IdleConnection> idleOldestFirst = new LinkedHashSet<>();

  private final int maxIdle;
  private final int maxIdlePerEndpoint;

  /**
   * Makes a client that keeps up to {@code mostKept} connections open while they are not in use.
   */
  public HttpClient(EventLoop loop, int mostKept) {
    this(loop, mostKept, channel -> {});
  }

  /**
   * Makes a client whose connections are shown to {@code opened} before anything is sent on them.
   */
  public HttpClient(EventLoop loop, int maxIdle, Consumer<Channel> opened) {
    this.loop = loop;
    this.maxIdle = maxIdle;
    maxIdlePerEndpoint = Math.max(MIN_IDLE_PER_ENDPOINT, maxIdle / PER_ENDPOINT_DIVISOR);
    bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .handler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    opened.accept(channel);
                    channel
                        .pipeline()
                        .addLast(new HttpClientCodec())
                        .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
                        .addLast(new ResponseHandler());
                  }
                });
  }

  /** Sends a request, which has {@code timeoutMs} until its response is given up. */
  public void send(
      Endpoint endpoint,
      String method,
      String path,
      byte[] body,
      long timeoutMs,
      ResponseListener taker) {
    PendingRequest call = new PendingRequest(endpoint, taker);
    call.timeoutTask = loop.schedule(call::onTimeout, timeoutMs, TimeUnit.MILLISECONDS);
    Channel channel = takeIdle(endpoint);
    if (channel != null) {
      call.start(channel, method, path, body);
      return;
    }
    ChannelFuture connected = bootstrap.connect(endpoint.host(), endpoint.port());
    call.channel = connected.channel();
    connected.addListener(
        done -> {
          if (call.isCompleted) {
            connected.channel().close();
          } else if (done.isSuccess()) {
            call.start(connected.channel(), method, path, body);
          } else {
            call.complete(0, new byte[0]);
          }
        });
  }

  private Channel takeIdle(Endpoint endpoint) {
    Deque<IdleConnection> open = idleByEndpoint.get(endpoint);
    while (open != null && !open.isEmpty()) {
      IdleConnection last = open.pollLast();
      idleOldestFirst.remove(last);
      if (last.channel.isActive()) {
        return last.channel;
      }
    }
    return null;
  }

  private void release(Endpoint endpoint, Channel channel) {
    Deque<IdleConnection> open = idleByEndpoint.computeIfAbsent(endpoint, e -> new ArrayDeque<>());
    if (open.size() >= maxIdlePerEndpoint) {
      channel.close();
      return;
    }
    IdleConnection fresh = new IdleConnection(endpoint, channel, System.nanoTime() / 1_000_000);
    open.addLast(fresh);
    idleOldestFirst.add(fresh);
    if (idleOldestFirst.size() > maxIdle) {
      close(idleOldestFirst.iterator().next());
    }
  }

  private void close(IdleConnection connection) {
    idleOldestFirst.remove(connection);
    Deque<IdleConnection> open = idleByEndpoint.get(connection.endpoint);
    open.remove(connection);
    if (open.isEmpty()) {
      idleByEndpoint.remove(connection.endpoint);
    }
    connection.channel.close();
  }

  /** Closes connections that nothing has used for a while. */
  public void closeExpired() {
    long nowMs = System.nanoTime() / 1_000_000;
    while (!idleOldestFirst.isEmpty()
        && nowMs - idleOldestFirst.iterator().next().idleSinceMs > IDLE_TIMEOUT_MS) {
      close(idleOldestFirst.iterator().next());
    }
  }

  private final class PendingRequest {
    final Endpoint endpoint;
    final ResponseListener listener;
    Channel channel;
    ScheduledFuture<?> timeoutTask;
    boolean isCompleted;

    PendingRequest(Endpoint endpoint, ResponseListener listener) {
      this.endpoint = endpoint;
      this.listener = listener;
    }

    void start(Channel on, String method, String path, byte[] body) {
      channel = on;
      on.pipeline().get(ResponseHandler.class).pending = this;
      byte[] content = body == null ? new byte[0] : body;
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
      on.writeAndFlush(request);
    }

    void onTimeout() {
      if (channel != null) {
        channel.close();
      }
      complete(0, new byte[0]);
    }

    void complete(int status, byte[] body) {
      if (!isCompleted) {
        isCompleted = true;
        timeoutTask.cancel(false);
        listener.onResponse(status, body);
      }
    }
  }

  private final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
    PendingRequest pending;

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
      PendingRequest ended = pending;
      pending = null;
      if (ended == null || !response.decoderResult().isSuccess()) {
        context.close();
        if (ended != null) {
          ended.complete(0, new byte[0]);
        }
        return;
      }
      byte[] body = ByteBufUtil.getBytes(response.content());
      if (HttpUtil.isKeepAlive(response)) {
        release(ended.endpoint, context.channel());
      } else {
        context.close();
      }
      ended.complete(response.status().code(), body);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      if (pending != null) {
        pending.complete(0, new byte[0]);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      if (pending != null && cause instanceof TooLongHttpContentException) {
        pending.complete(STATUS_OVERSIZED, new byte[0]);
      }
      context.close();
    }
  }
}
