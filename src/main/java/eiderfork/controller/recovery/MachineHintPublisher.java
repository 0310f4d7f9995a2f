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
 * Publishes to the standbys which images the machines have. Each batch covers some of the machines,
 * so that all of them are covered within a worker lease. No batch is sent while store writes are
 * waiting, because writes are more important.
 */
public final class MachineHintPublisher {
  /** The maximum number of images published per machine; the most recently used ones are chosen. */
  private static final int MAX_IMAGES_PER_MACHINE = 8;

  /** The size at which a batch is closed. It is far below the maximum size of a request body. */
  private static final int MAX_BATCH_BYTES = 32 * 1024;

  /** The size of an image's entry in a batch without its name. */
  private static final int IMAGE_OVERHEAD_BYTES = 24;

  private final ControllerContext context;
  private final LeaderElection election;
  private final StoreClient store;
  private final MachineRegistry fleet;
  private final Standby standby;

  /** The standbys that have not replied to the last batch. */
  private final Set<String> unacknowledged = new HashSet<>();

  private long sequence;
  private long nextSendMs;

  /** The number of the machine that was published last. */
  private int lastMachineNumber;

  /** Creates a publisher that starts with the first machine. */
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

  /** Starts a new sequence of batches at the start of a term. */
  public void onElected() {
    unacknowledged.clear();
    sequence = 0;
    lastMachineNumber = 0;
  }

  /** Sends the next batch if one is due. Must be called on a recovered leader only. */
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
          // A node whose version does not support hints rejects every batch, which costs one
          // request per step.
          if (election.currentTerm() == sentTerm) {
            unacknowledged.remove(node);
          }
        });
  }

  /**
   * Returns the hints for the machines that follow the one published last, continuing with the
   * first machine after the last one.
   */
  private ImmutableList<MachineHint> nextHints() {
    int machineCount =
        (int) Math.ceil(fleet.machines().size() * context.stepS() * 1000 / context.workerLeaseMs());
    ImmutableList.Builder<MachineHint> hints = ImmutableList.builder();
    int bytes = 0;
    for (int i = 0; i < machineCount && bytes < MAX_BATCH_BYTES; i++) {
      MachineState machine = fleet.nextAfter(lastMachineNumber);
      lastMachineNumber = machine.number();
      MachineHint hint = hintFor(machine);
      hints.add(hint);
      bytes += encodedBytes(hint);
    }
    return hints.build();
  }

  private static int encodedBytes(MachineHint hint) {
    int bytes = hint.machine().length();
    for (MachineHint.ImageHint image : hint.images()) {
      bytes += image.image().length() + IMAGE_OVERHEAD_BYTES;
    }
    return bytes;
  }

  private MachineHint hintFor(MachineState machine) {
    List<MachineHint.ImageHint> images = new ArrayList<>();
    for (Map.Entry<String, Double> image : machine.images().sizesGb().entrySet()) {
      long readyInMs = machine.images().remainingFetchMs(image.getKey(), context.nowMs());
      images.add(new MachineHint.ImageHint(image.getKey(), image.getValue(), readyInMs));
    }
    int from = Math.max(0, images.size() - MAX_IMAGES_PER_MACHINE);
    return new MachineHint(
        machine.name(), ImmutableList.copyOf(images.subList(from, images.size())));
  }

  /** Applies the hints of an earlier leader to the machines that this leader knows. */
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
    boolean isKnown = machine.images().contains(image.image());
    if (!isKnown) {
      machine.images().recordUse(image.image(), image.sizeGb(), type.imageCacheGb());
    }
    if (machine.images().contains(image.image()) && !machine.images().hasReadyTime(image.image())) {
      machine.images().recordReadyTime(image.image(), receivedMs + image.readyInMs());
    }
  }
}
