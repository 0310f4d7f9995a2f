package eiderfork.controller.standby;

import eiderfork.controller.message.MachineHint;
import eiderfork.controller.message.MachineHintBatch;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * What the leader published of machines beside what is committed. A hint may be old, lost or wrong;
 * it is used for better guesses alone.
 */
public final class MachineHintStore {
  private record ReceivedHint(MachineHint hint, long receivedMs) {}

  private final Map<String, ReceivedHint> machines = new HashMap<>();
  private long term;
  private long lastSequence;

  /** Makes an empty store. */
  public MachineHintStore() {}

  /** Forgets everything. */
  public void clear() {
    machines.clear();
    lastSequence = 0;
  }

  /** Takes a batch of a leader; one that is older than the last is ignored. */
  public void receive(MachineHintBatch batch, long nowMs) {
    boolean newer = batch.term() > term || batch.term() == term && batch.sequence() > lastSequence;
    if (!newer) {
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

  /** Passes on each machine's hint with the time at which it was received. */
  public void forEach(BiConsumer<MachineHint, Long> action) {
    machines.values().forEach(received -> action.accept(received.hint, received.receivedMs));
  }

  /** How many machines there are hints of. */
  public int size() {
    return machines.size();
  }
}
