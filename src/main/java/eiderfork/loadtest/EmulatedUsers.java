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

/** The users of a cell and the load balancer in front of its controllers. */
final class EmulatedUsers {
  private static final long SUBMIT_TIMEOUT_MS = 5000;
  private static final long QUERY_TIMEOUT_MS = 2000;
  private static final long RETRY_DELAY_MS = 1000;
  private static final long HEALTH_CHECK_TIMEOUT_MS = 1000;
  private static final int MAX_CONNECTIONS = 64;
  private static final int UNHEALTHY_AFTER_FAILURES = 2;

  /** Large enough that random job ids hardly ever collide. */
  private static final long JOB_ID_BOUND = 1_000_000_000_000_000L;

  private final EmulatedCell cell;
  private final LoadTestSettings settings;
  private final HttpClient client;
  private final int[] failedHealthChecks;

  /** Number of jobs to submit by class; the fraction is carried over to the next tick. */
  private final Map<String, Double> dueSubmissions = new HashMap<>();

  private final List<String> finishedJobs = new ArrayList<>();
  private double dueLateQueries;
  private long lastTickMs;

  EmulatedUsers(EmulatedCell cell, LoadTestSettings settings) {
    this.cell = cell;
    this.settings = settings;
    client = new HttpClient(cell.loop, MAX_CONNECTIONS);
    failedHealthChecks = new int[settings.cells().controllers()];
  }

  // The load balancer.

  void checkHealth() {
    for (int i = 0; i < failedHealthChecks.length; i++) {
      int node = i;
      client.send(
          cell.controllers().get(node).publicAddress(),
          "GET",
          UserCodec.HEALTH_PATH,
          null,
          HEALTH_CHECK_TIMEOUT_MS,
          (status, body) ->
              failedHealthChecks[node] = status == 200 ? 0 : failedHealthChecks[node] + 1);
    }
    client.closeExpired();
  }

  /** A random healthy controller, or any controller if none is healthy. */
  private int pickController() {
    int first = cell.random.nextInt(failedHealthChecks.length);
    for (int i = 0; i < failedHealthChecks.length; i++) {
      int node = (first + i) % failedHealthChecks.length;
      if (failedHealthChecks[node] < UNHEALTHY_AFTER_FAILURES) {
        return node;
      }
    }
    return first;
  }

  private void send(
      String method,
      String path,
      byte[] body,
      long timeoutMs,
      HttpClient.ResponseListener listener) {
    var endpoint = cell.controllers().get(pickController()).publicAddress();
    client.send(endpoint, method, path, body, timeoutMs, listener);
  }

  // The load.

  /** Starts the load; nothing is submitted for the time before. */
  void start() {
    lastTickMs = SteadyClock.nowMs();
  }

  /** Sends the submissions and queries due {@code elapsedS} seconds after the start of the load. */
  void tick(double elapsedS) {
    long nowMs = SteadyClock.nowMs();
    double seconds = (nowMs - lastTickMs) / 1000.0;
    lastTickMs = nowMs;
    for (LoadTestSettings.JobClass jobClass : settings.classes()) {
      double jobs =
          dueSubmissions.merge(
              jobClass.name(), arrivalsPerS(jobClass, elapsedS) * seconds, Double::sum);
      for (; jobs >= 1; jobs--) {
        submit(jobClass);
      }
      dueSubmissions.put(jobClass.name(), jobs);
    }
    dueLateQueries += settings.users().lateQuestionsPerS() * seconds;
    for (; dueLateQueries >= 1; dueLateQueries--) {
      if (!finishedJobs.isEmpty()) {
        query(finishedJobs.get(cell.random.nextInt(finishedJobs.size())));
      }
    }
  }

  private double arrivalsPerS(LoadTestSettings.JobClass jobClass, double elapsedS) {
    LoadTestSettings.Phases phases = settings.phases();
    if (elapsedS < phases.rampS()) {
      return jobClass.first() / phases.rampS();
    }
    double sincePeakS = elapsedS - phases.peakAtS();
    boolean peak = sincePeakS >= 0 && sincePeakS < phases.peakS();
    return jobClass.perS() + (peak ? jobClass.peakPerS() : 0);
  }

  private Job newJob(LoadTestSettings.JobClass jobClass) {
    boolean service = jobClass.kind().equals("service");
    String image = jobClass.name() + "-" + cell.random.nextInt(jobClass.images());
    return new Job(
        "run-" + cell.random.nextLong(JOB_ID_BOUND),
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
    Job job = newJob(jobClass);
    boolean service = job.kind() == JobKind.SERVICE;
    long taskMs = service ? 0 : (long) (1000 * jobClass.runS());
    JobCatalog.Entry entry = new JobCatalog.Entry(job, jobClass, SteadyClock.nowMs(), taskMs);
    cell.submissionStarted(entry);
    trySubmit(entry, UserClientCodec.encodeSubmission(job));
  }

  private void trySubmit(JobCatalog.Entry entry, byte[] body) {
    long requestedMs = SteadyClock.nowMs();
    send(
        "POST",
        UserCodec.JOBS_PATH,
        body,
        SUBMIT_TIMEOUT_MS,
        (status, responseBody) -> {
          String uid = entry.job().uid();
          if (status == 201 || status == 200) {
            cell.checker.accepted(uid);
            checkStatus(responseBody, requestedMs);
            cell.accepted(entry, requestedMs);
            onAccepted(entry);
          } else if (status == 400 || status == 422) {
            cell.counters.userRefusals++;
            cell.checker.permanentlyRejected(uid, cell.checker.isAccepted(uid));
          } else {
            cell.counters.userRefusals++;
            cell.loop.schedule(() -> trySubmit(entry, body), RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
          }
        });
  }

  private void onAccepted(JobCatalog.Entry entry) {
    String uid = entry.job().uid();
    double lifetimeS = entry.jobClass().runS();
    if (entry.job().kind() == JobKind.SERVICE && lifetimeS > 0) {
      cell.loop.schedule(() -> cancel(entry), (long) (1000 * lifetimeS), TimeUnit.MILLISECONDS);
    }
    schedulePoll(uid);
  }

  private void schedulePoll(String uid) {
    double afterS = settings.users().pollS() * (0.75 + 0.5 * cell.random.nextDouble());
    cell.loop.schedule(() -> poll(uid), (long) (1000 * afterS), TimeUnit.MILLISECONDS);
  }

  private void poll(String uid) {
    query(
        uid,
        status -> {
          if (status != null && status.phase().isFinal()) {
            cell.jobFinished(uid);
            finishedJobs.add(uid);
          } else {
            schedulePoll(uid);
          }
        });
  }

  /** Queries a finished job; only the invariant checker uses the response. */
  private void query(String uid) {
    query(uid, status -> {});
  }

  private void query(String uid, Consumer<JobStatus> onComplete) {
    long requestedMs = SteadyClock.nowMs();
    boolean acceptedBefore = cell.checker.isAccepted(uid);
    cell.counters.polls++;
    send(
        "GET",
        UserCodec.JOBS_PATH + "/" + uid,
        null,
        QUERY_TIMEOUT_MS,
        (status, body) -> {
          if (status == 200) {
            onComplete.accept(checkStatus(body, requestedMs));
            return;
          }
          if (status == 404) {
            cell.checker.permanentlyRejected(uid, acceptedBefore);
          }
          cell.counters.pollFailures++;
          onComplete.accept(null);
        });
  }

  private void cancel(JobCatalog.Entry entry) {
    String uid = entry.job().uid();
    cell.checker.cancelRequested(uid);
    cell.cancelRequested(uid);
    cell.counters.cancellations++;
    tryCancel(uid);
  }

  private void tryCancel(String uid) {
    long requestedMs = SteadyClock.nowMs();
    send(
        "POST",
        UserCodec.JOBS_PATH + "/" + uid + UserCodec.CANCEL_SUFFIX,
        "{}".getBytes(StandardCharsets.UTF_8),
        SUBMIT_TIMEOUT_MS,
        (status, body) -> {
          if (status == 200) {
            checkStatus(body, requestedMs);
          } else {
            cell.counters.userRefusals++;
            cell.loop.schedule(() -> tryCancel(uid), RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
          }
        });
  }

  private JobStatus checkStatus(byte[] body, long requestedMs) {
    try {
      JobStatus status = UserClientCodec.decodeStatus(body);
      cell.checker.statusReceived(status, requestedMs, SteadyClock.nowMs());
      return status;
    } catch (MalformedMessageException e) {
      return null;
    }
  }
}
