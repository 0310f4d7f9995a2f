package eiderfork.config;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import eiderfork.model.Team;

/**
 * The settings of a controller: the platform's, and the operators'.
 *
 * @param publicEndpoint where users, workers and the load balancer connect
 * @param peerListenEndpoint where other controllers connect
 * @param peerEndpoints where the other controllers listen, by name
 * @param peerZones the zones of the other controllers, by name
 * @param storeLimits the store's limits now
 * @param nextStoreLimits its limits after a change that comes without notice; the same where no
 *     change is announced
 */
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
   * A service-level objective for a class of jobs.
   *
   * @param withinS the time that waiting or finishing may take; 0 for other kinds
   * @param deadlineFactor how many times their deadline jobs may take; 1 for other kinds
   * @param share the share of the jobs or tasks that should be in time
   */
  public record Objective(
      Kind kind, String jobClass, double withinS, double deadlineFactor, double share) {
    /** What an objective is about. */
    public enum Kind {
      /** How soon tasks start. */
      WAIT,
      /** How soon jobs finish. */
      FINISHED,
      /** Whether jobs finish within a multiple of their own deadline. */
      DEADLINE,
      /** Any other, which has no influence on scheduling. */
      OTHER
    }
  }

  /** The shortest time of the objectives of this kind for a class; the largest double for none. */
  public double shortestObjectiveS(Objective.Kind kind, String jobClass) {
    double shortestS = Double.MAX_VALUE;
    for (Objective objective : objectives) {
      if (objective.kind() == kind && objective.jobClass().equals(jobClass)) {
        shortestS = Math.min(shortestS, objective.withinS());
      }
    }
    return shortestS;
  }

  /** How many times their deadline jobs of a class may take, the strictest objective first. */
  public ImmutableList<Double> deadlineFactors(String jobClass) {
    ImmutableList<Double> factors =
        objectives.stream()
            .filter(objective -> objective.kind() == Objective.Kind.DEADLINE)
            .filter(objective -> objective.jobClass().equals(jobClass))
            .map(Objective::deadlineFactor)
            .sorted()
            .collect(ImmutableList.toImmutableList());
    return factors.isEmpty() ? ImmutableList.of(1.0) : factors;
  }

  /**
   * The timing of workers.
   *
   * @param heartbeatS the interval of heartbeats
   * @param leaseS how long a lease lasts
   * @param cancelDeadlineS how soon the tasks of a cancelled job must have ended
   */
  public record WorkerTimings(double heartbeatS, double leaseS, double cancelDeadlineS) {}

  /**
   * The limits of the store.
   *
   * @param writesPerS the changes in a second, of all transactions
   * @param valueKb the largest value
   * @param transactionOps the most changes in a transaction
   */
  public record StoreLimits(
      double requestsPerS, double writesPerS, double valueKb, int transactionOps) {}

  /** The largest value that the store takes both now and with its next limits. */
  public double safeValueKb() {
    return Math.min(storeLimits.valueKb(), nextStoreLimits.valueKb());
  }

  /** The most changes in a transaction that the store takes both now and with its next limits. */
  public int safeTransactionOps() {
    return Math.min(storeLimits.transactionOps(), nextStoreLimits.transactionOps());
  }

  /**
   * The resources of a controller.
   *
   * @param cpuShare the share of one core
   */
  public record ControllerResources(double cpuShare, int sockets, double memoryMb) {
    /** One socket in so many is for outbound connections, the others are for workers and users. */
    private static final int OUTBOUND_DIVISOR = 8;

    /** The most outbound connections that may be open at a time. */
    public int maxOutboundConnections() {
      return Math.max(1, sockets / OUTBOUND_DIVISOR);
    }
  }

  /**
   * The limits of the cloud.
   *
   * @param listLagS how old its list of machines may be
   */
  public record CloudLimits(double requestsPerS, double listLagS) {}
}
