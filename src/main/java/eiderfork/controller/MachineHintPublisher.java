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
  private static final int MOST_IMAGES = 8;

  /** A message stays far below the size of a request's body. */
  private static final int MOST_BYTES = 32 * 1024;

  private static final int IMAGE_BYTES = 24;

  private final ControllerContext context;
  private final LeaderElection term;
  private final StoreClient gate;
  private final MachineRegistry fleet;
  private final Standby standby;

  /** Standbys that have not answered the last message. */
  private final Set<String> open = new HashSet<>();

  private long number;
  private long nextMs;

  /** The machine told of last. */
  private int lastMachine;

  MachineHintPublisher(
      ControllerContext context,
      LeaderElection term,
      StoreClient gate,
      MachineRegistry fleet,
      Standby standby) {
    this.context = context;
    this.term = term;
    this.gate = gate;
    this.fleet = fleet;
    this.standby = standby;
  }

  /** A term begins. */
  void elected() {
    open.clear();
    number = 0;
    lastMachine = 0;
  }

  /** Sends what is due; only a rebuilt leader does. */
  void tick() {
    if (context.settings.operator().standbys() == 0 || context.nowMs < nextMs) {
      return;
    }
    nextMs = context.nowMs + context.stepMs();
    if (gate.waitMs(RequestPriority.BATCH) > context.stepMs() || fleet.machines().isEmpty()) {
      return;
    }
    MachineHintBatch message = new MachineHintBatch(term.number(), ++number, nextHints());
    for (String node : standby.of(context.settings.node())) {
      send(node, message);
    }
  }

  private void send(String node, MachineHintBatch message) {
    if (!open.add(node)) {
      return;
    }
    long of = term.number();
    context.ask(
        call -> new Effect.AskPeerHints(call, node, message, context.stepMs()),
        reply -> {
          // A node that knows no hints is asked again; it costs one request a step.
          if (term.number() == of) {
            open.remove(node);
          }
        });
  }

  /** The hints of the machines behind the last one told of, and of the first after the end. */
  private ImmutableList<MachineHint> nextHints() {
    int most =
        (int) Math.ceil(fleet.machines().size() * context.stepS() * 1000 / context.leaseMs());
    ImmutableList.Builder<MachineHint> hints = ImmutableList.builder();
    int bytes = 0;
    for (int i = 0; i < most && bytes < MOST_BYTES; i++) {
      MachineState m = fleet.after(lastMachine);
      lastMachine = m.number;
      MachineHint hint = hint(m);
      hints.add(hint);
      bytes += m.name.length();
      for (MachineHint.ImageHint image : hint.images()) {
        bytes += image.image().length() + IMAGE_BYTES;
      }
    }
    return hints.build();
  }

  private MachineHint hint(MachineState m) {
    List<MachineHint.ImageHint> images = new ArrayList<>();
    for (Map.Entry<String, Double> image : m.images.entrySet()) {
      long readyInMs = m.fetchedAtMs.getLong(image.getKey()) - context.nowMs;
      images.add(
          new MachineHint.ImageHint(image.getKey(), image.getValue(), Math.max(0, readyInMs)));
    }
    int from = Math.max(0, images.size() - MOST_IMAGES);
    return new MachineHint(m.name, ImmutableList.copyOf(images.subList(from, images.size())));
  }

  /** Takes what an earlier leader has told of machines that this one knows. */
  void apply(MachineHintStore hints) {
    hints.forEach(
        (hint, toldMs) -> {
          MachineState m = fleet.get(hint.machine());
          MachineType type = m == null ? null : fleet.type(m);
          if (type != null) {
            for (MachineHint.ImageHint image : hint.images()) {
              apply(m, type, image, toldMs);
            }
          }
        });
  }

  private static void apply(
      MachineState m, MachineType type, MachineHint.ImageHint image, long toldMs) {
    boolean known = m.images.containsKey(image.image());
    if (!known) {
      m.touchImage(image.image(), image.gb(), type.cacheGb());
    }
    if (m.images.containsKey(image.image()) && !m.fetchedAtMs.containsKey(image.image())) {
      m.fetchedAtMs.put(image.image(), toldMs + image.readyInMs());
    }
  }
}
