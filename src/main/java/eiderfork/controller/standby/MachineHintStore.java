package eiderfork.controller.standby;

import eiderfork.controller.message.MachineHint;
import eiderfork.controller.message.MachineHintBatch;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * What the leader has told of machines beside what is committed. A hint may be old, lost or wrong;
 * it is used for better guesses alone.
 */
public final class MachineHintStore {
  private record Told(MachineHint hint, long atMs) {}

  private final Map<String, Told> machines = new HashMap<>();
  private long term;
  private long lastNumber;

  /** Makes an empty store. */
  public MachineHintStore() {}

  /** Forgets everything. */
  public void clear() {
    machines.clear();
    lastNumber = 0;
  }

  /** Takes a message of a leader; one that is older than the last says nothing. */
  public void take(MachineHintBatch message, long nowMs) {
    boolean newer =
        message.term() > term || message.term() == term && message.number() > lastNumber;
    if (!newer) {
      return;
    }
    if (message.term() > term) {
      clear();
      term = message.term();
    }
    lastNumber = message.number();
    for (MachineHint hint : message.machines()) {
      machines.put(hint.machine(), new Told(hint, nowMs));
    }
  }

  /** Shows each machine's hint and when it was told. */
  public void forEach(BiConsumer<MachineHint, Long> taker) {
    machines.values().forEach(told -> taker.accept(told.hint, told.atMs));
  }

  /** How many machines were told of. */
  public int size() {
    return machines.size();
  }
}
