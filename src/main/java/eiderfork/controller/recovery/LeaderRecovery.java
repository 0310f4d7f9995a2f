package eiderfork.controller.recovery;

import eiderfork.controller.election.LeaderElection;
import eiderfork.controller.registry.CachedImageRestorer;
import eiderfork.controller.registry.JobRegistry;
import eiderfork.controller.registry.MachineRegistry;
import eiderfork.controller.scheduling.RoundTrigger;
import eiderfork.controller.standby.Standby;
import eiderfork.controller.standby.StandbyReplica;
import eiderfork.controller.store.ReadBarrier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Brings a new leader's memory up to what was committed in earlier terms, and keeps it so: from the
 * replica that it kept as a standby where that is proved complete ({@link ReplicaRecovery}), or by
 * reading everything ({@link FullReadRecovery}). Then it watches what other nodes commit.
 */
public final class LeaderRecovery {
  private static final Logger LOG = LoggerFactory.getLogger(LeaderRecovery.class);

  /** What follows a recovery. */
  public interface Listener {
    /** Memory holds all that was committed, from a replica or from a full read. */
    void onRecovered(boolean fromReplica);
  }

  private final LeaderElection election;
  private final Standby standby;
  private final ReplicaRecovery replicaRecovery;
  private final FullReadRecovery fullReadRecovery;
  private final CommittedChangeWatcher watcher;
  private final ReadBarrier readBarrier;
  private final JobRegistry jobs;
  private final MachineRegistry fleet;
  private final RoundTrigger rounds;
  private final Listener listener;

  /** Makes the recovery of a node; it begins with {@link #recover}. */
  public LeaderRecovery(
      LeaderElection election,
      Standby standby,
      ReplicaRecovery replicaRecovery,
      FullReadRecovery fullReadRecovery,
      CommittedChangeWatcher watcher,
      ReadBarrier readBarrier,
      JobRegistry jobs,
      MachineRegistry fleet,
      RoundTrigger rounds,
      Listener listener) {
    this.election = election;
    this.standby = standby;
    this.replicaRecovery = replicaRecovery;
    this.fullReadRecovery = fullReadRecovery;
    this.watcher = watcher;
    this.readBarrier = readBarrier;
    this.jobs = jobs;
    this.fleet = fleet;
    this.rounds = rounds;
    this.listener = listener;
  }

  /** Begins the recovery of the term in which this node leads. */
  public void recover() {
    long leadingTerm = election.currentTerm();
    StandbyReplica replica = standby.replica();
    if (!replica.isFollowing()) {
      readEverything(leadingTerm);
      return;
    }
    replica.catchUp(
        election.leaderRevision(),
        complete -> {
          if (complete) {
            replicaRecovery.restore(replica, revision -> finish(leadingTerm, revision, true));
          } else {
            readEverything(leadingTerm);
          }
        });
  }

  private void readEverything(long leadingTerm) {
    fullReadRecovery.read(leadingTerm, revision -> finish(leadingTerm, revision, false));
  }

  private void finish(long leadingTerm, long revision, boolean fromReplica) {
    readBarrier.advanceTo(revision);
    new CachedImageRestorer(fleet).restore(jobs.all());
    LOG.info(
        "recovery-completed term={} fromReplica={} jobs={} machines={}",
        leadingTerm,
        fromReplica,
        jobs.size(),
        fleet.machines().size());
    listener.onRecovered(fromReplica);
    watcher.watchFrom(revision, leadingTerm);
    rounds.request();
  }
}
