package eiderfork.controller;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.election.LeaderElection;
import eiderfork.controller.store.StoreClient;
import eiderfork.model.StoredRecord;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** When all members are known to run the current version. */
class ClusterVersionTest {
  private final ControllerContext context =
      new ControllerContext(TestFixtures.settings("roost-0"), new Random(1), 0);
  private final StoreClient gate = new StoreClient(context);
  private final ClusterVersion version =
      new ClusterVersion(context, gate, new LeaderElection(context, gate, null));

  private void allAnswer() {
    version.answered("roost-1", ClusterVersion.CURRENT);
    version.answered("roost-2", ClusterVersion.CURRENT);
  }

  @Test
  void everyPeerHasToAnswerThatItIsNew() {
    version.answered("roost-1", ClusterVersion.CURRENT);
    assertFalse(version.allows(ClusterVersion.CURRENT));
    version.answered("roost-2", ClusterVersion.FIRST);
    assertFalse(version.allows(ClusterVersion.CURRENT));
    allAnswer();
    assertTrue(version.allows(ClusterVersion.CURRENT));
  }

  /** A held-up ping of a process that was taken back to the older version meanwhile. */
  @Test
  void whatAPeerSaysUnaskedMayBeOldAndProvesNothing() {
    version.heard("roost-1", ClusterVersion.CURRENT);
    version.heard("roost-2", ClusterVersion.CURRENT);
    assertFalse(version.allows(ClusterVersion.CURRENT));
    allAnswer();
    version.heard("roost-2", ClusterVersion.FIRST);
    assertFalse(version.allows(ClusterVersion.CURRENT), "it is back at the older version");
  }

  @Test
  void whatIsStoredHoldsWhateverPeersSay() {
    version.read(new StoredRecord.StoredVersion(ClusterVersion.CURRENT), 5);
    version.heard("roost-1", ClusterVersion.FIRST);
    assertTrue(version.allows(ClusterVersion.CURRENT));
    version.read(new StoredRecord.StoredVersion(ClusterVersion.FIRST), 4);
    assertTrue(version.allows(ClusterVersion.CURRENT));
  }
}
