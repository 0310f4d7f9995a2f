package eiderfork.controller.recovery;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.election.LeaderElection;
import eiderfork.controller.message.Effect;
import eiderfork.controller.message.MachineHint;
import eiderfork.controller.message.MachineHintBatch;
import eiderfork.controller.registry.MachineRegistry;
import eiderfork.controller.registry.MachineState;
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
 * Publishes to the standbys which images the machines have: some machines with each batch, so that
 * all are published within a lease, and none while writes wait, which are worth more.
 */
public final class MachineHintPublisher {
  /** The images published of a machine, those used last. */
  private static final int MAX_IMAGES_PER_MACHINE = 8;

  /** A batch stays far below the largest body of a request. */
  private static final int MAX_BATCH_BYTES = 32 * 1024;

  /** What an image takes in a batch beside its name. */
  private static final int IMAGE_BYTES = 24;

  private final ControllerContext context;
  private final LeaderElection election;
  private final StoreClient store;
  private final MachineRegistry fleet;
  private final Standby standby;

  /** Standbys that have not replied to the last batch. */
  private final Set<String> unacknowledged = new HashSet<>();

  private long sequence;
  private long nextSendMs;

  /** The number of the machine that was published last. */
  private int lastMachineNumber;

  /** Makes a publisher that begins with the first machine. */
  public MachineHintPublisher(
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

  /** A term begins, and with it a new sequence of batches. */
  public void onElected() {
    unacknowledged.clear();
    sequence = 0;
    lastMachineNumber = 0;
  }

  /** Sends the next batch where one is due; only a recovered leader does. */
  public void tick() {
    if (context.settings.operator().standbyCount() == 0 || context.nowMs() < nextSendMs) {
      return;
    }
    nextSendMs = context.nowMs() + context.stepMs();
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
        callId -> new Effect.SendHints(callId, node, batch, context.stepMs()),
        reply -> {
          // A node of a version without hints refuses each batch: one request a step.
          if (election.currentTerm() == sentTerm) {
            unacknowledged.remove(node);
          }
        });
  }

  /** The hints of the machines after the one published last, and of the first after the end. */
  private ImmutableList<MachineHint> nextHints() {
    int machineCount =
        (int) Math.ceil(fleet.machines().size() * context.stepS() * 1000 / context.workerLeaseMs());
    ImmutableList.Builder<MachineHint> hints = ImmutableList.builder();
    int bytes = 0;
    for (int i = 0; i < machineCount && bytes < MAX_BATCH_BYTES; i++) {
      MachineState machine = fleet.nextAfter(lastMachineNumber);
      lastMachineNumber = machine.number();
      MachineHint hint = hint(machine);
      hints.add(hint);
      bytes += bytes(hint);
    }
    return hints.build();
  }

  private static int bytes(MachineHint hint) {
    int bytes = hint.machine().length();
    for (MachineHint.ImageHint image : hint.images()) {
      bytes += image.image().length() + IMAGE_BYTES;
    }
    return bytes;
  }

  private MachineHint hint(MachineState machine) {
    List<MachineHint.ImageHint> images = new ArrayList<>();
    for (Map.Entry<String, Double> image : machine.images().sizesGb().entrySet()) {
      long readyInMs = machine.images().remainingFetchMs(image.getKey(), context.nowMs());
      images.add(new MachineHint.ImageHint(image.getKey(), image.getValue(), readyInMs));
    }
    int from = Math.max(0, images.size() - MAX_IMAGES_PER_MACHINE);
    return new MachineHint(
        machine.name(), ImmutableList.copyOf(images.subList(from, images.size())));
  }

  /** Applies the hints of an earlier leader to the machines that this one has. */
  public void apply(MachineHintStore hints) {
    hints.forEach(
        (hint, receivedMs) -> {
          MachineState machine = fleet.get(hint.machine());
          MachineType type = machine == null ? null : fleet.typeOf(machine);
          if (type != null) {
            for (MachineHint.ImageHint image : hint.images()) {
              apply(machine, type, image, receivedMs);
            }
          }
        });
  }

  private static void apply(
      MachineState machine, MachineType type, MachineHint.ImageHint image, long receivedMs) {
    boolean known = machine.images().contains(image.image());
    if (!known) {
      machine.images().recordUse(image.image(), image.sizeGb(), type.imageCacheGb());
    }
    if (machine.images().contains(image.image()) && !machine.images().hasReadyTime(image.image())) {
      machine.images().recordReadyTime(image.image(), receivedMs + image.readyInMs());
    }
  }
}
