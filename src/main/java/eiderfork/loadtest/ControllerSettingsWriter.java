package eiderfork.loadtest;

import eiderfork.config.Settings.Endpoint;
import eiderfork.model.Team;
import java.util.Collection;
import java.util.List;
import java.util.Locale;

/** Writes the deployment settings file of a cell's controllers. */
final class ControllerSettingsWriter {
  /** Sockets in addition to one per worker. */
  private static final int SPARE_SOCKETS = 6000;

  /** A controller with its zone and addresses. */
  record Member(String name, String zone, Endpoint publicAddress, Endpoint peerAddress) {}

  private ControllerSettingsWriter() {}

  static String of(
      LoadTestSettings run,
      List<Member> members,
      int self,
      Endpoint state,
      Endpoint cloud,
      Collection<Team> teams) {
    StringBuilder text = new StringBuilder();
    Member own = members.get(self);
    put(text, "host_name", own.name());
    put(text, "zone", own.zone());
    put(text, "public_addr", own.publicAddress());
    put(text, "peer_listen", own.peerAddress());
    for (Member other : members) {
      if (other != own) {
        text.append("[[others]]\n");
        put(text, "host_name", other.name());
        put(text, "zone", other.zone());
        put(text, "endpoint", other.peerAddress());
      }
    }
    text.append("[endpoints]\n");
    put(text, "cloud", cloud);
    put(text, "state", state);
    text.append("[deployment]\ninitial_size = 0\n");
    for (Team team : teams) {
      text.append("[[deployment.teams]]\n");
      put(text, "name", team.name());
      put(text, "cpus", team.guaranteedCpus());
      put(text, "cpus_max", team.maxCpus());
      put(text, "gpus", team.guaranteedGpus());
      put(text, "gpus_max", team.maxGpus());
    }
    text.append("[deployment.workers]\n");
    put(text, "report_s", run.workers().reportS());
    put(text, "lease_s", run.workers().leaseS());
    put(text, "cancel_s", run.workers().cancelS());
    text.append("[deployment.state]\n");
    put(text, "rps", run.state().rps());
    put(text, "write_rps", run.state().writeRps());
    put(text, "value_kb", run.state().valueKb());
    text.append("txn_ops = ").append(run.state().txnOps()).append('\n');
    text.append("[deployment.cloud]\n");
    put(text, "rps", run.cloud().rps());
    put(text, "list_lag_s", run.cloud().listLagS());
    text.append("[deployment.resources]\n");
    // No CPU limit is enforced on the process.
    put(text, "cpu_share", 1.0);
    put(text, "memory_mb", HostResourceLimits.controllerMb(run.cells().workers()));
    text.append("sockets = ").append(run.cells().workers() + SPARE_SOCKETS).append('\n');
    return text.toString();
  }

  private static void put(StringBuilder text, String name, double value) {
    text.append(String.format(Locale.ROOT, "%s = %.3f%n", name, value));
  }

  private static void put(StringBuilder text, String name, Object value) {
    text.append(String.format(Locale.ROOT, "%s = \"%s\"%n", name, value));
  }
}
