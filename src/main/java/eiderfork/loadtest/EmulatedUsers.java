package eiderfork.loadtest;

import com.google.common.collect.ImmutableSet;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.JobStatus;
import eiderfork.model.Priority;
import eiderfork.model.Resources;
import eiderfork.net.HttpClient;
import eiderfork.wire.MalformedMessageException;
import eiderfork.wire.UserClientCodec;
import eiderfork.wire.UserCodec;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** A cell's users and the load balancer before its controllers. */
final class EmulatedUsers {
  private static final long SUBMIT_MS = 5000;
  private static final long POLL_MS = 2000;
  private static final long RETRY_MS = 1000;
  private static final long PROBE_MS = 1000;
  private static final int CONNECTIONS = 64;
  private static final int FAILED_PROBES = 2;

  /** Ids are drawn from so many that two are hardly ever alike. */
  private static final long IDS = 1_000_000_000_000_000L;

  private final EmulatedCell cell;
  private final LoadTestSettings settings;
  private final HttpClient client;
  private final int[] failedProbes;

  /** Jobs still to be submitted for each class: whole ones, and a part of the next one. */
  private final Map<String, Double> due = new HashMap<>();

  private final List<String> over = new ArrayList<>();
  private double lateDue;
  private long lastTickMs;

  EmulatedUsers(EmulatedCell cell, LoadTestSettings settings) {
    this.cell = cell;
    this.settings = settings;
    client = new HttpClient(cell.loop, CONNECTIONS);
    failedProbes = new int[settings.cells().controllers()];
  }

  // The load balancer.

  void probeAll() {
    for (int i = 0; i < failedProbes.length; i++) {
      int node = i;
      client.send(
          cell.controllers().get(node).publicAddress(),
          "GET",
          UserCodec.HEALTH_PATH,
          null,
          PROBE_MS,
          (status, body) -> failedProbes[node] = status == 200 ? 0 : failedProbes[node] + 1);
    }
    client.closeExpired();
  }

  /** A healthy node, any node where none is. */
  private int anyNode() {
    int first = cell.random.nextInt(failedProbes.length);
    for (int i = 0; i < failedProbes.length; i++) {
      int node = (first + i) % failedProbes.length;
      if (failedProbes[node] < FAILED_PROBES) {
        return node;
      }
    }
    return first;
  }

  private void send(
      String method, String path, byte[] body, long timeoutMs, HttpClient.ResponseListener taker) {
    var endpoint = cell.controllers().get(anyNode()).publicAddress();
    client.send(endpoint, method, path, body, timeoutMs, taker);
  }

  // The load.

  /**
   * The load begins now. Counted from when the cell was made, the first tick once submitted what
   * would have been due while the controllers started.
   */
  void begin() {
    lastTickMs = SteadyClock.nowMs();
  }

  /** Submits what is due, {@code elapsedS} after the beginning of the load. */
  void tick(double elapsedS) {
    long nowMs = SteadyClock.nowMs();
    double seconds = (nowMs - lastTickMs) / 1000.0;
    lastTickMs = nowMs;
    for (LoadTestSettings.JobClass jobClass : settings.classes()) {
      double jobs = due.merge(jobClass.name(), rate(jobClass, elapsedS) * seconds, Double::sum);
      for (; jobs >= 1; jobs--) {
        submit(jobClass);
      }
      due.put(jobClass.name(), jobs);
    }
    lateDue += settings.users().lateQuestionsPerS() * seconds;
    for (; lateDue >= 1; lateDue--) {
      if (!over.isEmpty()) {
        ask(over.get(cell.random.nextInt(over.size())));
      }
    }
  }

  private double rate(LoadTestSettings.JobClass jobClass, double elapsedS) {
    LoadTestSettings.Phases phases = settings.phases();
    if (elapsedS < phases.rampS()) {
      return jobClass.first() / phases.rampS();
    }
    double sincePeakS = elapsedS - phases.peakAtS();
    boolean peak = sincePeakS >= 0 && sincePeakS < phases.peakS();
    return jobClass.perS() + (peak ? jobClass.peakPerS() : 0);
  }

  private Job job(LoadTestSettings.JobClass jobClass) {
    boolean service = jobClass.kind().equals("service");
    String image = jobClass.name() + "-" + cell.random.nextInt(jobClass.images());
    return new Job(
        "run-" + cell.random.nextLong(IDS),
        jobClass.name(),
        "team-" + cell.random.nextInt(settings.cells().teams()),
        service ? JobKind.SERVICE : JobKind.ARRAY,
        Priority.valueOf(jobClass.priority().toUpperCase(Locale.ROOT)),
        jobClass.tasks(),
        new Resources(jobClass.cpus(), jobClass.gpus(), jobClass.ramGb()),
        (ImmutableSet<String>) null,
        null,
        false,
        service && jobClass.tasks() > 1 && settings.cells().zones() > 1,
        false,
        image,
        jobClass.imageGb(),
        service ? 0 : jobClass.runS(),
        0,
        0,
        null);
  }

  private void submit(LoadTestSettings.JobClass jobClass) {
    Job job = job(jobClass);
    boolean service = job.kind() == JobKind.SERVICE;
    long taskMs = service ? 0 : (long) (1000 * jobClass.runS());
    JobCatalog.Entry entry = new JobCatalog.Entry(job, jobClass, SteadyClock.nowMs(), taskMs);
    cell.submitting(entry);
    trySubmit(entry, UserClientCodec.encodeSubmission(job));
  }

  private void trySubmit(JobCatalog.Entry entry, byte[] body) {
    long requestedMs = SteadyClock.nowMs();
    send(
        "POST",
        UserCodec.JOBS_PATH,
        body,
        SUBMIT_MS,
        (status, responseBody) -> {
          String uid = entry.job().uid();
          if (status == 201 || status == 200) {
            cell.checker.accepted(uid);
            told(responseBody, requestedMs);
            cell.accepted(entry, requestedMs);
            live(entry);
          } else if (status == 400 || status == 422) {
            cell.counters.userRefusals++;
            cell.checker.denied(uid, cell.checker.isAccepted(uid));
          } else {
            cell.counters.userRefusals++;
            cell.loop.schedule(() -> trySubmit(entry, body), RETRY_MS, TimeUnit.MILLISECONDS);
          }
        });
  }

  private void live(JobCatalog.Entry entry) {
    String uid = entry.job().uid();
    double standS = entry.jobClass().runS();
    if (entry.job().kind() == JobKind.SERVICE && standS > 0) {
      cell.loop.schedule(() -> cancel(entry), (long) (1000 * standS), TimeUnit.MILLISECONDS);
    }
    pollLater(uid);
  }

  private void pollLater(String uid) {
    double afterS = settings.users().pollS() * (0.75 + 0.5 * cell.random.nextDouble());
    cell.loop.schedule(() -> poll(uid), (long) (1000 * afterS), TimeUnit.MILLISECONDS);
  }

  private void poll(String uid) {
    ask(
        uid,
        status -> {
          if (status != null && status.phase().isFinal()) {
            cell.jobOver(uid);
            over.add(uid);
          } else {
            pollLater(uid);
          }
        });
  }

  /** A question after a job that is over; the checker sees the answer. */
  private void ask(String uid) {
    ask(uid, status -> {});
  }

  private void ask(String uid, Consumer<JobStatus> onComplete) {
    long requestedMs = SteadyClock.nowMs();
    boolean acceptedBefore = cell.checker.isAccepted(uid);
    cell.counters.polls++;
    send(
        "GET",
        UserCodec.JOBS_PATH + "/" + uid,
        null,
        POLL_MS,
        (status, body) -> {
          if (status == 200) {
            onComplete.accept(told(body, requestedMs));
            return;
          }
          if (status == 404) {
            cell.checker.denied(uid, acceptedBefore);
          }
          cell.counters.pollFailures++;
          onComplete.accept(null);
        });
  }

  private void cancel(JobCatalog.Entry entry) {
    String uid = entry.job().uid();
    cell.checker.cancelling(uid);
    cell.cancelAsked(uid);
    cell.counters.cancellations++;
    tryCancel(uid);
  }

  private void tryCancel(String uid) {
    long requestedMs = SteadyClock.nowMs();
    send(
        "POST",
        UserCodec.JOBS_PATH + "/" + uid + UserCodec.CANCEL_SUFFIX,
        "{}".getBytes(StandardCharsets.UTF_8),
        SUBMIT_MS,
        (status, body) -> {
          if (status == 200) {
            told(body, requestedMs);
          } else {
            cell.counters.userRefusals++;
            cell.loop.schedule(() -> tryCancel(uid), RETRY_MS, TimeUnit.MILLISECONDS);
          }
        });
  }

  private JobStatus told(byte[] body, long requestedMs) {
    try {
      JobStatus status = UserClientCodec.decodeStatus(body);
      cell.checker.told(status, requestedMs, SteadyClock.nowMs());
      return status;
    } catch (MalformedMessageException e) {
      return null;
    }
  }
}
