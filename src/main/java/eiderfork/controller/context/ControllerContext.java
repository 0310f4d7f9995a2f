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

/** What the parts of one controller share: settings, the time of the input, calls and effects. */
public final class ControllerContext {
  /** A steady clock may be off by this share; lease expiry is judged with twice that to spare. */
  public static final double MAX_CLOCK_DRIFT = 0.001;

  private static final double MS_PER_S = 1000;

  /** How long a worker waits for the reply to a heartbeat, by the protocol. */
  private static final long HEARTBEAT_REPLY_TIMEOUT_MS = 4000;

  /** Steps in a worker's wait for a reply; users wait half of that for the reply to a query. */
  private static final int STEPS_PER_REPLY_TIMEOUT = 4;

  /** The settings of this node. */
  public final Settings settings;

  /** The source of all random choices. */
  public final RandomGenerator random;

  /** The steady time of the input that is being handled. */
  private long nowMs;

  private final Long2ObjectOpenHashMap<Consumer<Reply>> pendingCalls =
      new Long2ObjectOpenHashMap<>();
  private List<Effect> effects = new ArrayList<>();
  private long lastCallId;

  /** Makes a context without pending calls or effects. */
  public ControllerContext(Settings settings, RandomGenerator random, long nowMs) {
    this.settings = settings;
    this.random = random;
    this.nowMs = nowMs;
  }

  /** The steady time of the input that is being handled. */
  public long nowMs() {
    return nowMs;
  }

  /** Moves the time to that of an input; it never goes back. */
  public void advanceTo(long inputMs) {
    nowMs = Math.max(nowMs, inputMs);
  }

  /** Moves the time on. */
  public void advanceBy(long durationMs) {
    nowMs += durationMs;
  }

  /** Adds an effect to those of this input. */
  public void emit(Effect effect) {
    effects.add(effect);
  }

  /**
   * Emits a call; {@code onReply} takes its reply.
   *
   * @param callFactory makes the call with the id that its reply will carry
   */
  public void call(LongFunction<Effect.Call> callFactory, Consumer<Reply> onReply) {
    long callId = ++lastCallId;
    pendingCalls.put(callId, onReply);
    effects.add(callFactory.apply(callId));
  }

  /** Passes a reply to the caller; a second reply to the same call is ignored. */
  public void completeCall(long callId, Reply reply) {
    Consumer<Reply> onReply = pendingCalls.remove(callId);
    if (onReply != null) {
      onReply.accept(reply);
    }
  }

  /** Returns the effects that were emitted since the last call of this method. */
  public List<Effect> drainEffects() {
    List<Effect> drained = effects;
    effects = new ArrayList<>();
    return drained;
  }

  /** The interval of workers' heartbeats. */
  public long heartbeatIntervalMs() {
    return millis(settings.workerTimings().heartbeatS());
  }

  /**
   * The step: the unit of time of everything that a worker or user waits for. It is the heartbeat
   * interval, or less where workers seldom send heartbeats, as their waits are no longer for that.
   */
  public long stepMs() {
    return Math.min(heartbeatIntervalMs(), HEARTBEAT_REPLY_TIMEOUT_MS / STEPS_PER_REPLY_TIMEOUT);
  }

  /** The step in seconds. */
  public double stepS() {
    return stepMs() / MS_PER_S;
  }

  /** The duration of a worker's lease. */
  public long workerLeaseMs() {
    return millis(settings.workerTimings().leaseS());
  }

  /** The time within which a cancelled task must have ended. */
  public long cancellationTimeoutMs() {
    return millis(settings.workerTimings().cancelDeadlineS());
  }

  /** How old the cloud's list of machines may be. */
  public long cloudListLagMs() {
    return millis(settings.cloudLimits().listLagS());
  }

  private static long millis(double seconds) {
    return (long) (seconds * MS_PER_S);
  }

  /** A duration on this clock in which another clock surely counts {@code durationMs}. */
  public static long withClockDrift(long durationMs) {
    return (long) Math.ceil(durationMs * (1 + MAX_CLOCK_DRIFT));
  }
}
