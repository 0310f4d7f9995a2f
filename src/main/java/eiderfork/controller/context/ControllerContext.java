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

/** What the parts of one controller share: the time of the input, its effects, open calls. */
public final class ControllerContext {
  public final Settings settings;
  public final RandomGenerator random;

  /** The steady time of the input being taken. */
  public long nowMs;

  private final Long2ObjectOpenHashMap<Consumer<Reply>> pendingCalls =
      new Long2ObjectOpenHashMap<>();
  private List<Effect> effects = new ArrayList<>();
  private long lastCallId;

  /** Makes what the parts of a controller share. */
  public ControllerContext(Settings settings, RandomGenerator random, long nowMs) {
    this.settings = settings;
    this.random = random;
    this.nowMs = nowMs;
  }

  /** Has something sent or answered. */
  public void emit(Effect effect) {
    effects.add(effect);
  }

  /** Sends a call and has {@code onComplete} take its reply. */
  public void call(LongFunction<Effect.Call> callFactory, Consumer<Reply> onComplete) {
    long id = ++lastCallId;
    pendingCalls.put(id, onComplete);
    effects.add(callFactory.apply(id));
  }

  /** Hands a reply to whoever asked. */
  public void completeCall(long callId, Reply reply) {
    Consumer<Reply> onComplete = pendingCalls.remove(callId);
    if (onComplete != null) {
      onComplete.accept(reply);
    }
  }

  /** What is to be sent and answered since this was last taken. */
  public List<Effect> drainEffects() {
    List<Effect> taken = effects;
    effects = new ArrayList<>();
    return taken;
  }

  /** The interval of workers' reports. */
  public long heartbeatIntervalMs() {
    return (long) (settings.workerTimings().heartbeatS() * 1000);
  }

  /**
   * The step of all that somebody waits for, however seldom workers report: a quarter of the time
   * that a worker waits for an answer, and half of what a user waits for one to a poll. Where it
   * hung on the report interval, an interval of 4 s had users and workers wait past their time.
   */
  public long stepMs() {
    return Math.min(heartbeatIntervalMs(), HEARTBEAT_REPLY_TIMEOUT_MS / 4);
  }

  /** The step in seconds. */
  public double stepS() {
    return stepMs() / 1000.0;
  }

  /** The workers' lease. */
  public long workerLeaseMs() {
    return (long) (settings.workerTimings().leaseS() * 1000);
  }

  /** The time in which a cancelled task must have ended. */
  public long cancellationTimeoutMs() {
    return (long) (settings.workerTimings().cancelDeadlineS() * 1000);
  }

  /** How old the cloud's list may be. */
  public long cloudListLagMs() {
    return (long) (settings.cloudLimits().listLagS() * 1000);
  }

  /** How long a worker waits for the answer to a report, by the protocol. */
  private static final long HEARTBEAT_REPLY_TIMEOUT_MS = 4000;

  /** A steady clock may be off by this share; lapses are judged with twice that to spare. */
  public static final double MAX_CLOCK_DRIFT = 0.001;

  /** A time span after which another clock has surely seen {@code durationMs} go by. */
  public static long withClockDrift(long durationMs) {
    return (long) Math.ceil(durationMs * (1 + MAX_CLOCK_DRIFT));
  }
}
