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
 * Recovers a new leader's state from what was committed in earlier terms. It uses the replica that
 * the node kept as a standby if that is proved complete ({@link ReplicaRecovery}), and otherwise
 * reads everything from the store ({@link FullReadRecovery}). Then it starts to watch for changes
 * that other nodes commit.
 */
public final class LeaderRecovery {
  private static final Logger LOG = LoggerFactory.getLogger(LeaderRecovery.class);

  /** A listener for the end of a recovery. */
  public interface Listener {
    /**
     * Called when memory contains everything committed.
     *
     * @param fromReplica whether it came from a replica rather than from a full read
     */
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

  /** Creates the recovery of a node, which starts when {@link #recover} is called. */
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

  /** Starts the recovery for the term in which this node leads. */
  public void recover() {
    long leadingTerm = election.currentTerm();
    StandbyReplica replica = standby.replica();
    if (!replica.isFollowing()) {
      startFullRead(leadingTerm);
      return;
    }
    replica.catchUp(
        election.leaderKeyRevision(),
        isComplete -> {
          if (isComplete) {
            replicaRecovery.restore(replica, revision -> finish(leadingTerm, revision, true));
          } else {
            startFullRead(leadingTerm);
          }
        });
  }

  private void startFullRead(long leadingTerm) {
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
