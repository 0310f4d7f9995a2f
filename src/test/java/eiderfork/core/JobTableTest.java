package eiderfork.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.collect.ImmutableList;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.Machine;
import eiderfork.model.MachineType;
import eiderfork.model.Record;
import eiderfork.model.Resources;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** What a leader keeps of jobs beside their state. */
class JobTableTest {
  /**
   * A new leader once knew only the images of what runs, and sent replicas to machines that had to
   * fetch first.
   */
  @Test
  void aNewLeaderKnowsWhichImagesMachinesWereGiven() {
    Context context = new Context(Samples.settings("roost-0"), new Random(1), 0);
    StateGate gate = new StateGate(context);
    JobTable jobs = new JobTable(context, gate, null, null);
    Fleet fleet = new Fleet(context, jobs);
    fleet.types(
        ImmutableList.of(
            new MachineType("g4", new Resources(16, 4, 64), 2, 2, 8, 3, 4, ImmutableList.of("a"))));
    MachineEntry m = fleet.known(new Machine("n-1", "n-1:1", "g4", "a", false));
    for (int i = 1; i <= 3; i++) {
      Job job = Samples.job(i, JobKind.SERVICE, 1, 1, "img-" + i);
      JobEntry entry = jobs.add(job, i);
      Record.Alloc alloc =
          new Record.Alloc(
              1, false, ImmutableList.of(new Record.Span(0, 0, 1, "n-1")), ImmutableList.of());
      jobs.restore(entry, alloc, 100 - i, fleet);
      jobs.markAborted(job.uid());
    }
    jobs.noteImages(fleet);
    // The cache of this type holds two, and the record of the third job is the oldest.
    assertEquals(List.of("img-2", "img-1"), List.copyOf(m.images.keySet()));
  }
}
