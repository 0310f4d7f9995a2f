package eiderfork.config;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import eiderfork.model.Team;

/** What the platform hands over. */
public record Settings(
    String nodeName,
    String zone,
    Endpoint publicEndpoint,
    Endpoint peerListenEndpoint,
    ImmutableMap<String, Endpoint> peerEndpoints,
    ImmutableMap<String, String> peerZones,
    Endpoint cloudEndpoint,
    Endpoint storeEndpoint,
    ImmutableMap<String, Team> teams,
    ImmutableList<Objective> objectives,
    WorkerTimings workerTimings,
    StoreLimits storeLimits,
    StoreLimits nextStoreLimits,
    CloudLimits cloudLimits,
    ControllerResources controllerResources,
    OperatorSettings operator) {

  /** A host and port. */
  public record Endpoint(String host, int port) {
    @Override
    public String toString() {
      return host + ":" + port;
    }
  }

  /**
   * An aim of the users for a class of jobs.
   *
   * @param withinS the time that waiting or finishing may take; 0 for other kinds
   * @param deadlineFactor how many times their deadline jobs may take; 1 for other kinds
   * @param share the part of the jobs or tasks that should be in time
   */
  public record Objective(
      Kind kind, String jobClass, double withinS, double deadlineFactor, double share) {
    /** What an aim is about. */
    public enum Kind {
      /** How soon tasks start. */
      WAIT,
      /** How soon jobs are done. */
      FINISHED,
      /** Whether jobs are done within some times their own deadline. */
      DEADLINE,
      /** Anything else, which decides nothing here. */
      OTHER
    }
  }

  /** The shortest time of the users' aims of this kind for a class; the largest double for none. */
  public double shortestObjectiveS(Objective.Kind kind, String jobClass) {
    double least = Double.MAX_VALUE;
    for (Objective objective : objectives) {
      if (objective.kind() == kind && objective.jobClass().equals(jobClass)) {
        least = Math.min(least, objective.withinS());
      }
    }
    return least;
  }

  /** How many times their deadline jobs of a class should take at most, the strictest first. */
  public ImmutableList<Double> deadlineFactors(String jobClass) {
    ImmutableList<Double> times =
        objectives.stream()
            .filter(objective -> objective.kind() == Objective.Kind.DEADLINE)
            .filter(objective -> objective.jobClass().equals(jobClass))
            .map(Objective::deadlineFactor)
            .sorted()
            .collect(ImmutableList.toImmutableList());
    return times.isEmpty() ? ImmutableList.of(1.0) : times;
  }

  /**
   * How often workers report, how long their leases last, and how soon cancelled tasks must end.
   */
  public record WorkerTimings(double heartbeatS, double leaseS, double cancelDeadlineS) {}

  /**
   * What the state service takes: requests and changes a second, the size of a value, and the
   * changes of one transaction.
   */
  public record StoreLimits(
      double requestsPerS, double writesPerS, double valueKb, int transactionOps) {}

  /**
   * The largest value that the state service takes now and after its limits have changed to {@code
   * nextStateLimits}, which comes without notice.
   */
  public double safeValueKb() {
    return Math.min(storeLimits.valueKb(), nextStoreLimits.valueKb());
  }

  /** The most changes of a transaction that the state service takes now and after that. */
  public int safeTransactionOps() {
    return Math.min(storeLimits.transactionOps(), nextStoreLimits.transactionOps());
  }

  /**
   * What a controller's machine gives it: a share of one core, sockets, and memory in megabytes.
   */
  public record ControllerResources(double cpuShare, int sockets, double memoryMb) {
    /** Workers and users come in on sockets of their own; this part is for what goes out. */
    private static final int OUTBOUND_DIVISOR = 8;

    /** How many connections may be kept, and how many workers commanded, at a time. */
    public int maxOutboundConnections() {
      return Math.max(1, sockets / OUTBOUND_DIVISOR);
    }
  }

  /** What the cloud takes in calls a second, and how old its lists may be. */
  public record CloudLimits(double requestsPerS, double listLagS) {}
}
