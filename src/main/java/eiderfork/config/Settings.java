package eiderfork.config;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import eiderfork.model.Team;

/** What the platform hands over. */
public record Settings(
    String node,
    String zone,
    Endpoint listen,
    Endpoint peerListen,
    ImmutableMap<String, Endpoint> peers,
    ImmutableMap<String, String> peerZones,
    Endpoint cloud,
    Endpoint state,
    ImmutableMap<String, Team> teams,
    ImmutableList<Objective> objectives,
    Workers workers,
    StateLimits stateLimits,
    CloudLimits cloudLimits,
    Controller controller,
    OperatorSettings operator) {

  /** A host and port. */
  public record Endpoint(String host, int port) {
    @Override
    public String toString() {
      return host + ":" + port;
    }
  }

  /** An aim of the users: {@code kind} is "wait" or "finished". */
  public record Objective(String kind, String jobClass, double withinS, double share) {}

  /**
   * How often workers report, how long their leases last, and how soon cancelled tasks must end.
   */
  public record Workers(double reportS, double leaseS, double cancelS) {}

  /** What the state service takes: requests and changes a second, and the size of a value. */
  public record StateLimits(double rps, double writeRps, double valueKb) {}

  /** What a controller's machine gives it: a share of one core, and sockets. */
  public record Controller(double cpuShare, int sockets) {
    /** Workers and users come in on sockets of their own; this part is for what goes out. */
    private static final int OUTBOUND_PART = 8;

    /** How many connections may be kept, and how many workers commanded, at a time. */
    public int outbound() {
      return Math.max(1, sockets / OUTBOUND_PART);
    }
  }

  /** What the cloud takes in calls a second, and how old its lists may be. */
  public record CloudLimits(double rps, double listLagS) {}
}
