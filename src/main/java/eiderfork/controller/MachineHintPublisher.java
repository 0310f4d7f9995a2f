package eiderfork.controller;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.election.LeaderElection;
import eiderfork.controller.message.Effect;
import eiderfork.controller.message.MachineHint;
import eiderfork.controller.message.MachineHintBatch;
import eiderfork.controller.standby.MachineHintStore;
import eiderfork.controller.standby.Standby;
import eiderfork.controller.store.RequestPriority;
import eiderfork.controller.store.StoreClient;
import eiderfork.model.MachineType;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Tells the standbys which images the machines have, some machines with each message, so that all
 * are told of within a lease; nothing while writes wait, since hints are worth less than those.
 */
final class MachineHintPublisher {
  /** The images told of a machine; older ones are not missed. */
  private static final int MAX_IMAGES_PER_MACHINE = 8;

  /** A message stays far below the size of a request's body. */
  private static final int MAX_BATCH_BYTES = 32 * 1024;

  private static final int IMAGE_BYTES = 24;

  private final ControllerContext context;
  private final LeaderElection election;
  private final StoreClient store;
  private final MachineRegistry fleet;
  private final Standby standby;

  /** Standbys that have not answered the last message. */
  private final Set<String> unacknowledged = new HashSet<>();

  private long sequence;
  private long nextSendMs;

  /** The machine told of last. */
  private int lastMachine;

  MachineHintPublisher(
      ControllerContext context,
      LeaderElection election,
      StoreClient store,
      MachineRegistry fleet,
      Standby standby) {
    this.context = context;
    this.election = election;
    this.store = store;
    this.fleet = fleet;
    this.standby = standby;
  }

  /** A term begins. */
  void elected() {
    unacknowledged.clear();
    sequence = 0;
    lastMachine = 0;
  }

  /** Sends what is due; only a rebuilt leader does. */
  void tick() {
    if (context.settings.operator().standbyCount() == 0 || context.nowMs < nextSendMs) {
      return;
    }
    nextSendMs = context.nowMs + context.stepMs();
    if (store.writeWaitMs(RequestPriority.BATCH) > context.stepMs() || fleet.machines().isEmpty()) {
      return;
    }
    MachineHintBatch batch = new MachineHintBatch(election.currentTerm(), ++sequence, nextHints());
    for (String node : standby.standbysOf(context.settings.nodeName())) {
      send(node, batch);
    }
  }

  private void send(String node, MachineHintBatch batch) {
    if (!unacknowledged.add(node)) {
      return;
    }
    long sentTerm = election.currentTerm();
    context.call(
        call -> new Effect.SendHints(call, node, batch, context.stepMs()),
        reply -> {
          // A node that knows no hints is asked again; it costs one request a step.
          if (election.currentTerm() == sentTerm) {
            unacknowledged.remove(node);
          }
        });
  }

  /** The hints of the machines behind the last one told of, and of the first after the end. */
  private ImmutableList<MachineHint> nextHints() {
    int machineCount =
        (int) Math.ceil(fleet.machines().size() * context.stepS() * 1000 / context.workerLeaseMs());
    ImmutableList.Builder<MachineHint> hints = ImmutableList.builder();
    int bytes = 0;
    for (int i = 0; i < machineCount && bytes < MAX_BATCH_BYTES; i++) {
      MachineState machine = fleet.nextAfter(lastMachine);
      lastMachine = machine.number();
      MachineHint hint = hint(machine);
      hints.add(hint);
      bytes += machine.name().length();
      for (MachineHint.ImageHint image : hint.images()) {
        bytes += image.image().length() + IMAGE_BYTES;
      }
    }
    return hints.build();
  }

  private MachineHint hint(MachineState machine) {
    List<MachineHint.ImageHint> images = new ArrayList<>();
    for (Map.Entry<String, Double> image : machine.images().sizesGb().entrySet()) {
      long readyInMs = machine.images().remainingFetchMs(image.getKey(), context.nowMs);
      images.add(new MachineHint.ImageHint(image.getKey(), image.getValue(), readyInMs));
    }
    int from = Math.max(0, images.size() - MAX_IMAGES_PER_MACHINE);
    return new MachineHint(
        machine.name(), ImmutableList.copyOf(images.subList(from, images.size())));
  }

  /** Takes what an earlier leader has told of machines that this one knows. */
  void apply(MachineHintStore hints) {
    hints.forEach(
        (hint, toldMs) -> {
          MachineState machine = fleet.get(hint.machine());
          MachineType type = machine == null ? null : fleet.typeOf(machine);
          if (type != null) {
            for (MachineHint.ImageHint image : hint.images()) {
              apply(machine, type, image, toldMs);
            }
          }
        });
  }

  private static void apply(
      MachineState machine, MachineType type, MachineHint.ImageHint image, long toldMs) {
    boolean known = machine.images().contains(image.image());
    if (!known) {
      machine.images().recordUse(image.image(), image.sizeGb(), type.imageCacheGb());
    }
    if (machine.images().contains(image.image()) && !machine.images().hasReadyTime(image.image())) {
      machine.images().recordReadyTime(image.image(), toldMs + image.readyInMs());
    }
  }
}
