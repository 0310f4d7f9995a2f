package eiderfork.controller.cluster;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderfork.controller.TestFixtures;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.election.LeaderElection;
import eiderfork.controller.store.StoreClient;
import eiderfork.model.StoredRecord;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Tests when all members are known to run the current version. */
class ClusterVersionTest {
  private final ControllerContext context =
      new ControllerContext(TestFixtures.settings("roost-0"), new Random(1), 0);
  private final StoreClient store = new StoreClient(context);
  private final ClusterVersion version =
      new ClusterVersion(context, store, new LeaderElection(context, store, null));

  private void recordCurrentVersionOfAllPeers() {
    version.recordReply("roost-1", ClusterVersion.CURRENT);
    version.recordReply("roost-2", ClusterVersion.CURRENT);
  }

  @Test
  void versionIsSupportedOnceEveryPeerReportsItInReply() {
    version.recordReply("roost-1", ClusterVersion.CURRENT);
    assertFalse(version.isSupportedByAll(ClusterVersion.CURRENT));
    version.recordReply("roost-2", ClusterVersion.FIRST);
    assertFalse(version.isSupportedByAll(ClusterVersion.CURRENT));
    recordCurrentVersionOfAllPeers();
    assertTrue(version.isSupportedByAll(ClusterVersion.CURRENT));
  }

  /**
   * An unsolicited ping may be delayed, and its sender rolled back to an older version meanwhile.
   */
  @Test
  void unsolicitedVersionOnlyLowersKnownVersion() {
    version.recordUnsolicited("roost-1", ClusterVersion.CURRENT);
    version.recordUnsolicited("roost-2", ClusterVersion.CURRENT);
    assertFalse(version.isSupportedByAll(ClusterVersion.CURRENT));
    recordCurrentVersionOfAllPeers();
    version.recordUnsolicited("roost-2", ClusterVersion.FIRST);
    assertFalse(version.isSupportedByAll(ClusterVersion.CURRENT), "the peer was rolled back");
  }

  @Test
  void storedVersionIsNotLoweredByPeersOrOlderRecords() {
    version.recordStored(new StoredRecord.StoredVersion(ClusterVersion.CURRENT), 5);
    version.recordUnsolicited("roost-1", ClusterVersion.FIRST);
    assertTrue(version.isSupportedByAll(ClusterVersion.CURRENT));
    version.recordStored(new StoredRecord.StoredVersion(ClusterVersion.FIRST), 4);
    assertTrue(version.isSupportedByAll(ClusterVersion.CURRENT));
  }
}
