package eiderfork.controller.standby;

import eiderfork.controller.message.MachineHint;
import eiderfork.controller.message.MachineHintBatch;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * Stores the hints about machines that the leader publishes in addition to the committed state. A
 * hint may be outdated, lost or wrong, so it is only used to improve estimates.
 */
public final class MachineHintStore {
  private record ReceivedHint(MachineHint hint, long receivedMs) {}

  private final Map<String, ReceivedHint> machines = new HashMap<>();
  private long term;
  private long lastSequence;

  /** Creates an empty store. */
  public MachineHintStore() {}

  /** Removes all hints. */
  public void clear() {
    machines.clear();
    lastSequence = 0;
  }

  /** Stores a leader's batch of hints, unless it is older than the last one. */
  public void receive(MachineHintBatch batch, long nowMs) {
    boolean isNewer =
        batch.term() > term || batch.term() == term && batch.sequence() > lastSequence;
    if (!isNewer) {
      return;
    }
    if (batch.term() > term) {
      clear();
      term = batch.term();
    }
    lastSequence = batch.sequence();
    for (MachineHint hint : batch.machines()) {
      machines.put(hint.machine(), new ReceivedHint(hint, nowMs));
    }
  }

  /** Calls {@code action} with each machine's hint and the time at which it was received. */
  public void forEach(BiConsumer<MachineHint, Long> action) {
    machines.values().forEach(received -> action.accept(received.hint, received.receivedMs));
  }

  /** Returns the number of machines for which there is a hint. */
  public int size() {
    return machines.size();
  }
}
