package eiderfork.config;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import eiderfork.model.Team;

/**
 * The settings of a controller: those of the platform and those of the operators.
 *
 * @param publicEndpoint the endpoint for users, workers and the load balancer
 * @param peerListenEndpoint the endpoint for other controllers
 * @param peerEndpoints the endpoints of the other controllers, by name
 * @param peerZones the zones of the other controllers, by name
 * @param storeLimits the current limits of the store
 * @param nextStoreLimits the limits of the store after an announced change, which may happen at any
 *     time; equal to the current limits if no change is announced
 * @param operator the operators' settings
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

  /** A host name or address, and a port. */
  public record Endpoint(String host, int port) {
    @Override
    public String toString() {
      return host + ":" + port;
    }
  }

  /**
   * A service-level objective for a class of jobs.
   *
   * @param withinS the time limit for waiting or finishing; 0 for other kinds
   * @param deadlineFactor the time limit as a multiple of a job's own deadline; 1 for other kinds
   * @param share the share of jobs or tasks that should meet the time limit
   */
  public record Objective(
      Kind kind, String jobClass, double withinS, double deadlineFactor, double share) {
    /** The measure that an objective limits. */
    public enum Kind {
      /** The time until tasks start. */
      WAIT,
      /** The time until jobs finish. */
      FINISHED,
      /** The time until jobs finish, relative to their own deadlines. */
      DEADLINE,
      /** Any other measure; it has no effect on scheduling. */
      OTHER
    }
  }

  /**
   * Returns the shortest time limit of the objectives of this kind for a class, or {@code
   * Double.MAX_VALUE} if there are none.
   */
  public double shortestObjectiveS(Objective.Kind kind, String jobClass) {
    double shortestS = Double.MAX_VALUE;
    for (Objective objective : objectives) {
      if (objective.kind() == kind && objective.jobClass().equals(jobClass)) {
        shortestS = Math.min(shortestS, objective.withinS());
      }
    }
    return shortestS;
  }

  /**
   * Returns the deadline factors of the objectives for a class in ascending order, or only 1 if
   * there are none.
   */
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
   * The time limits and intervals of workers.
   *
   * @param heartbeatS the interval between heartbeats
   * @param leaseS the duration of a lease
   * @param cancelDeadlineS the time within which the tasks of a cancelled job must have ended
   */
  public record WorkerTimings(double heartbeatS, double leaseS, double cancelDeadlineS) {}

  /**
   * The limits of the store.
   *
   * @param writesPerS the maximum number of changes per second, over all transactions
   * @param valueKb the maximum size of a value
   * @param transactionOps the maximum number of changes in a transaction
   */
  public record StoreLimits(
      double requestsPerS, double writesPerS, double valueKb, int transactionOps) {}

  /** Returns the maximum size of a value under both the current and the next limits. */
  public double safeValueKb() {
    return Math.min(storeLimits.valueKb(), nextStoreLimits.valueKb());
  }

  /** Returns the maximum number of changes in a transaction under both current and next limits. */
  public int safeTransactionOps() {
    return Math.min(storeLimits.transactionOps(), nextStoreLimits.transactionOps());
  }

  /**
   * The resources of a controller.
   *
   * @param cpuShare the CPU time available, as a share of one core
   * @param sockets the maximum number of open sockets
   */
  public record ControllerResources(double cpuShare, int sockets, double memoryMb) {
    /**
     * The socket limit divided by this is the limit of outbound connections; the other sockets are
     * for workers and users.
     */
    private static final int OUTBOUND_DIVISOR = 8;

    /** Returns the maximum number of concurrent outbound connections. */
    public int maxOutboundConnections() {
      return Math.max(1, sockets / OUTBOUND_DIVISOR);
    }
  }

  /**
   * The limits of the cloud.
   *
   * @param listLagS the maximum age of its list of machines
   */
  public record CloudLimits(double requestsPerS, double listLagS) {}
}
