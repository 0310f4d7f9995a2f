package review2;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** A job as its user submits it, and what its user was told. */
final class Job {
  final String uid;
  final String jobClass;
  final String team;
  final String guise;
  final String precedence;
  final int tasks;
  final double cpus;
  final double ramGb;
  final String image;
  final double imageGb;
  final boolean scatter;

  /** How long a task runs; 0 for a service. */
  final long runMs;

  volatile boolean accepted;

  /** When its user was first told that it is accepted; -1 for not yet. */
  volatile long acceptedMs = -1;

  volatile boolean cancelRequested;
  volatile String lastStance = "";

  /** The final state that its user was told, and when; null for none. */
  volatile String finalStance;

  volatile long finalMs;

  /** When its user was told that it is cancelled; -1 for not yet. */
  volatile long cancelledMs = -1;

  Job(
      String uid,
      String jobClass,
      String team,
      String guise,
      String precedence,
      int tasks,
      double cpus,
      double ramGb,
      String image,
      double imageGb,
      boolean scatter,
      long runMs) {
    this.uid = uid;
    this.jobClass = jobClass;
    this.team = team;
    this.guise = guise;
    this.precedence = precedence;
    this.tasks = tasks;
    this.cpus = cpus;
    this.ramGb = ramGb;
    this.image = image;
    this.imageGb = imageGb;
    this.scatter = scatter;
    this.runMs = runMs;
  }

  String body() {
    ObjectNode node = Server.object();
    node.put("Uid", uid).put("Flock", jobClass).put("Crew", team).put("Guise", guise);
    node.put("Precedence", precedence).put("Hatchlings", tasks).put("Cpus", cpus);
    node.put("Gpus", 0.0).put("RamGb", ramGb).put("Plumage", image).put("ImageGb", imageGb);
    node.putNull("Breeds").putNull("Shore");
    node.put("Together", false).put("Scatter", scatter).put("Driftwood", false);
    node.put("ReckonS", runMs / 1000.0).put("MoultS", 0.0);
    node.put("StowS", 0.0).putNull("DueS");
    return node.toString();
  }
}
