package eiderfork.controller;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.election.LeaderElection;

/** What the leader knows of whether machines are alive, obey it and may be given tasks. */
final class MachineLiveness {
  /**
   * A machine is silent after the longest time between two of its reports, which is a quarter over
   * the interval, and this many steps more, for a report that was lost or tried another node.
   */
  private static final double LONGEST_REPORTS = 1.25;

  private static final double SILENT_STEPS = 1.35;

  private final ControllerContext context;
  private final LeaderElection term;

  MachineLiveness(ControllerContext context, LeaderElection term) {
    this.context = context;
    this.term = term;
  }

  /** How long the longest time between two reports of a machine that is heard is. */
  long silentMs() {
    return (long) (context.reportMs() * LONGEST_REPORTS + context.stepMs() * SILENT_STEPS);
  }

  /** Whether the worker takes this term's commands, so that no older leader can reach it. */
  boolean shown(MachineState m) {
    return m.report() != null && m.report().token() >= term.firstToken();
  }

  boolean heard(MachineState m) {
    return m.session.heardMs() > 0 && context.nowMs - m.session.heardMs() <= silentMs();
  }

  /** How long ago the machine last reported or was answered in this term. */
  long silentForMs(MachineState m) {
    return context.nowMs - Math.max(m.session.heardMs(), m.session.leaseFromMs());
  }

  /** Reports come but commands do not arrive. */
  boolean deaf(MachineState m) {
    return m.deafSinceMs > 0 && context.nowMs - m.deafSinceMs > silentMs();
  }

  /**
   * Whether tasks may be placed here. A worker that is reached by direct commands alone is heard
   * after its lease has lapsed; what started then was settled with what the lapse has ended.
   */
  boolean usable(MachineState m) {
    return inService(m) && heard(m) && !deaf(m) && m.unanswered < 2 && !leaseMayBeOver(m);
  }

  private boolean leaseMayBeOver(MachineState m) {
    return m.session.mayBeOver(context.nowMs, context.leaseMs());
  }

  /**
   * Whether room that is being made here may be waited for: the machine is in service and has
   * answered what it was told. It need not be heard: after a takeover workers report to nobody for
   * seconds while they look for the leader.
   */
  boolean keepsClaims(MachineState m) {
    return inService(m) && m.unanswered == 0;
  }

  private boolean inService(MachineState m) {
    return m.room != null
        && shown(m)
        && !m.returning
        && !m.draining
        && !m.faulty
        && m.report().noticeS() == null;
  }
}
