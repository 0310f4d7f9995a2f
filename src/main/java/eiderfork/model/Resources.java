package eiderfork.model;

/** An amount of the things a machine has and a task takes. */
public record Resources(double cpus, double gpus, double ramGb) {
  /** Nothing of anything. */
  public static final Resources NONE = new Resources(0, 0, 0);

  /** Sums of decimal amounts pick up rounding dust; nothing real is smaller than this. */
  public static final double DUST = 1e-6;

  /** The sum of both amounts. */
  public Resources plus(Resources o) {
    return new Resources(cpus + o.cpus, gpus + o.gpus, ramGb + o.ramGb);
  }

  /** What is left of this amount without the other; may be negative. */
  public Resources minus(Resources o) {
    return new Resources(cpus - o.cpus, gpus - o.gpus, ramGb - o.ramGb);
  }

  /** This amount {@code n} times. */
  public Resources times(double n) {
    return new Resources(cpus * n, gpus * n, ramGb * n);
  }

  /** Whether no part of this amount exceeds the same part of {@code room}. */
  public boolean fitsIn(Resources room) {
    return fitsIn(room.cpus, room.gpus, room.ramGb);
  }

  /** Whether no part of this amount exceeds what there is of it. */
  public boolean fitsIn(double roomCpus, double roomGpus, double roomRamGb) {
    return cpus <= roomCpus + DUST && gpus <= roomGpus + DUST && ramGb <= roomRamGb + DUST;
  }

  /** How many of {@code one} fit into this amount. */
  public int count(Resources one) {
    double n = Double.MAX_VALUE;
    if (one.cpus > 0) {
      n = Math.min(n, (cpus + DUST) / one.cpus);
    }
    if (one.gpus > 0) {
      n = Math.min(n, (gpus + DUST) / one.gpus);
    }
    if (one.ramGb > 0) {
      n = Math.min(n, (ramGb + DUST) / one.ramGb);
    }
    return (int) Math.max(0, Math.min(n, Integer.MAX_VALUE));
  }

  /** The mean share of {@code whole} that this amount is, over the kinds that it has. */
  public double shareOf(Resources whole) {
    double sum = 0;
    int kinds = 0;
    if (whole.cpus > 0) {
      sum += cpus / whole.cpus;
      kinds++;
    }
    if (whole.gpus > 0) {
      sum += gpus / whole.gpus;
      kinds++;
    }
    if (whole.ramGb > 0) {
      sum += ramGb / whole.ramGb;
      kinds++;
    }
    return kinds == 0 ? 0 : sum / kinds;
  }
}
