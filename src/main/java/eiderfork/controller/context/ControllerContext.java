package eiderfork.controller.context;

import eiderfork.config.Settings;
import eiderfork.controller.message.Effect;
import eiderfork.controller.message.Reply;
import it.unimi.dsi.fastutil.longs.Long2ObjectOpenHashMap;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import java.util.random.RandomGenerator;

/**
 * State shared by the components of a controller: the settings, the time of the current input,
 * pending calls, and the effects to return.
 */
public final class ControllerContext {
  /**
   * The maximum drift of a monotonic clock, as a fraction of the elapsed time. Lease expiry is
   * decided with a margin of twice that.
   */
  public static final double MAX_CLOCK_DRIFT = 0.001;

  private static final double MS_PER_S = 1000;

  /** The time that a worker waits for the reply to a heartbeat, as the protocol defines it. */
  private static final long HEARTBEAT_REPLY_TIMEOUT_MS = 4000;

  /**
   * The number of steps ({@link #stepMs}) in a worker's timeout for a reply. A user's timeout for
   * the reply to a query is half of that.
   */
  private static final int STEPS_PER_REPLY_TIMEOUT = 4;

  /** The settings of this node. */
  public final Settings settings;

  /** The source of all random choices. */
  public final RandomGenerator random;

  /** The monotonic time of the input that is being handled. */
  private long nowMs;

  private final Long2ObjectOpenHashMap<Consumer<Reply>> pendingCalls =
      new Long2ObjectOpenHashMap<>();
  private List<Effect> effects = new ArrayList<>();
  private long lastCallId;

  /** Creates a context without pending calls or effects. */
  public ControllerContext(Settings settings, RandomGenerator random, long nowMs) {
    this.settings = settings;
    this.random = random;
    this.nowMs = nowMs;
  }

  /** Returns the monotonic time of the input that is being handled. */
  public long nowMs() {
    return nowMs;
  }

  /** Advances the time to that of an input; an earlier time has no effect. */
  public void advanceTo(long inputMs) {
    nowMs = Math.max(nowMs, inputMs);
  }

  /** Advances the time by a duration. */
  public void advanceBy(long durationMs) {
    nowMs += durationMs;
  }

  /** Adds an effect to those of the current input. */
  public void emit(Effect effect) {
    effects.add(effect);
  }

  /**
   * Emits a call and registers the handler of its reply.
   *
   * @param callFactory creates the call with the given call id
   * @param onReply accepts the reply
   */
  public void call(LongFunction<Effect.Call> callFactory, Consumer<Reply> onReply) {
    long callId = ++lastCallId;
    pendingCalls.put(callId, onReply);
    effects.add(callFactory.apply(callId));
  }

  /** Passes a reply to the handler of its call; further replies to the same call are ignored. */
  public void completeCall(long callId, Reply reply) {
    Consumer<Reply> onReply = pendingCalls.remove(callId);
    if (onReply != null) {
      onReply.accept(reply);
    }
  }

  /** Returns and removes the effects that were emitted since the last call. */
  public List<Effect> drainEffects() {
    List<Effect> drained = effects;
    effects = new ArrayList<>();
    return drained;
  }

  /** Returns the interval of a worker's heartbeats. */
  public long heartbeatIntervalMs() {
    return millis(settings.workerTimings().heartbeatS());
  }

  /**
   * Returns the step, the time unit of all timeouts and intervals that workers and users notice.
   * The step is the heartbeat interval, with an upper limit: where workers send heartbeats less
   * often, the time that they wait for replies stays the same.
   */
  public long stepMs() {
    return Math.min(heartbeatIntervalMs(), HEARTBEAT_REPLY_TIMEOUT_MS / STEPS_PER_REPLY_TIMEOUT);
  }

  /** Returns the step ({@link #stepMs}) in seconds. */
  public double stepS() {
    return stepMs() / MS_PER_S;
  }

  /** Returns the duration of a worker's lease. */
  public long workerLeaseMs() {
    return millis(settings.workerTimings().leaseS());
  }

  /** Returns the time within which the tasks of a cancelled job must have ended. */
  public long cancellationTimeoutMs() {
    return millis(settings.workerTimings().cancelDeadlineS());
  }

  /** Returns the maximum age of the cloud's machine list. */
  public long cloudListLagMs() {
    return millis(settings.cloudLimits().listLagS());
  }

  private static long millis(double seconds) {
    return (long) (seconds * MS_PER_S);
  }

  /**
   * Returns the duration extended by the maximum clock drift. After this time on the local clock,
   * at least {@code durationMs} have passed on any other node's clock.
   */
  public static long withClockDrift(long durationMs) {
    return (long) Math.ceil(durationMs * (1 + MAX_CLOCK_DRIFT));
  }
}
