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
   * watch that lags far behind is answered with more, see {@link #OVERSIZED}.
   */
  static final int MOST_BODY = 8 * 1024 * 1024;

  /** The status that stands for a response that is larger than that. */
  public static final int OVERSIZED = -1;

  /** The part of all kept connections that may be open to one address. */
  private static final int KEPT_PART = 8;

  /** Connections that may be kept open to one address however few are kept in all. */
  private static final int LEAST_KEPT = 4;

  /** Unused connections are closed after this long. */
  private static final long KEPT_MS = 20_000;

  /** Takes a response; status 0 is none in time or at all, {@link #OVERSIZED} one too large. */
  public interface Taker {
    /** Takes the response. */
    void take(int status, byte[] body);
  }

  private record Kept(Endpoint to, Channel channel, long sinceMs) {}

  private final EventLoop loop;
  private final Bootstrap bootstrap;
  private final Map<Endpoint, Deque<Kept>> kept = new HashMap<>();

  /** All kept connections, the one longest unused first. */
  private final Set<Kept> oldest = new LinkedHashSet<>();

  private final int mostKept;
  private final int mostKeptToOne;

  /**
   * Makes a client that keeps up to {@code mostKept} connections open while they are not in use.
   */
  public HttpClient(EventLoop loop, int mostKept) {
    this(loop, mostKept, channel -> {});
  }

  /**
   * Makes a client whose connections are shown to {@code opened} before anything is sent on them.
   */
  public HttpClient(EventLoop loop, int mostKept, Consumer<Channel> opened) {
    this.loop = loop;
    this.mostKept = mostKept;
    mostKeptToOne = Math.max(LEAST_KEPT, mostKept / KEPT_PART);
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
                        .addLast(new HttpObjectAggregator(MOST_BODY))
                        .addLast(new Handler());
                  }
                });
  }

  /** Sends a request, which has {@code timeoutMs} until its response is given up. */
  public void send(
      Endpoint to, String method, String path, byte[] body, long timeoutMs, Taker taker) {
    Call call = new Call(to, taker);
    call.timeout = loop.schedule(call::timedOut, timeoutMs, TimeUnit.MILLISECONDS);
    Channel channel = takeKept(to);
    if (channel != null) {
      call.start(channel, method, path, body);
      return;
    }
    ChannelFuture connected = bootstrap.connect(to.host(), to.port());
    call.channel = connected.channel();
    connected.addListener(
        done -> {
          if (call.over) {
            connected.channel().close();
          } else if (done.isSuccess()) {
            call.start(connected.channel(), method, path, body);
          } else {
            call.end(0, new byte[0]);
          }
        });
  }

  private Channel takeKept(Endpoint to) {
    Deque<Kept> open = kept.get(to);
    while (open != null && !open.isEmpty()) {
      Kept last = open.pollLast();
      oldest.remove(last);
      if (last.channel.isActive()) {
        return last.channel;
      }
    }
    return null;
  }

  private void keep(Endpoint to, Channel channel) {
    Deque<Kept> open = kept.computeIfAbsent(to, e -> new ArrayDeque<>());
    if (open.size() >= mostKeptToOne) {
      channel.close();
      return;
    }
    Kept fresh = new Kept(to, channel, System.nanoTime() / 1_000_000);
    open.addLast(fresh);
    oldest.add(fresh);
    if (oldest.size() > mostKept) {
      close(oldest.iterator().next());
    }
  }

  private void close(Kept it) {
    oldest.remove(it);
    Deque<Kept> open = kept.get(it.to);
    open.remove(it);
    if (open.isEmpty()) {
      kept.remove(it.to);
    }
    it.channel.close();
  }

  /** Closes connections that nothing has used for a while. */
  public void sweep() {
    long nowMs = System.nanoTime() / 1_000_000;
    while (!oldest.isEmpty() && nowMs - oldest.iterator().next().sinceMs > KEPT_MS) {
      close(oldest.iterator().next());
    }
  }

  private final class Call {
    final Endpoint to;
    final Taker taker;
    Channel channel;
    ScheduledFuture<?> timeout;
    boolean over;

    Call(Endpoint to, Taker taker) {
      this.to = to;
      this.taker = taker;
    }

    void start(Channel on, String method, String path, byte[] body) {
      channel = on;
      on.pipeline().get(Handler.class).call = this;
      byte[] content = body == null ? new byte[0] : body;
      var request =
          new DefaultFullHttpRequest(
              HttpVersion.HTTP_1_1,
              HttpMethod.valueOf(method),
              path,
              Unpooled.wrappedBuffer(content));
      request.headers().set(HttpHeaderNames.HOST, to.toString());
      if (body != null) {
        request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
      }
      request.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, content.length);
      on.writeAndFlush(request);
    }

    void timedOut() {
      if (channel != null) {
        channel.close();
      }
      end(0, new byte[0]);
    }

    void end(int status, byte[] body) {
      if (!over) {
        over = true;
        timeout.cancel(false);
        taker.take(status, body);
      }
    }
  }

  private final class Handler extends SimpleChannelInboundHandler<FullHttpResponse> {
    Call call;

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
      Call ended = call;
      call = null;
      if (ended == null || !response.decoderResult().isSuccess()) {
        context.close();
        if (ended != null) {
          ended.end(0, new byte[0]);
        }
        return;
      }
      byte[] body = ByteBufUtil.getBytes(response.content());
      if (HttpUtil.isKeepAlive(response)) {
        keep(ended.to, context.channel());
      } else {
        context.close();
      }
      ended.end(response.status().code(), body);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      if (call != null) {
        call.end(0, new byte[0]);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      if (call != null && cause instanceof TooLongHttpContentException) {
        call.end(OVERSIZED, new byte[0]);
      }
      context.close();
    }
  }
}
