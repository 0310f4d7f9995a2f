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
  volatile boolean accepted;

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
      boolean scatter) {
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
  }

  String body() {
    ObjectNode node = Server.object();
    node.put("Uid", uid).put("Flock", jobClass).put("Crew", team).put("Guise", guise);
    node.put("Precedence", precedence).put("Hatchlings", tasks).put("Cpus", cpus);
    node.put("Gpus", 0.0).put("RamGb", ramGb).put("Plumage", image).put("ImageGb", imageGb);
    node.putNull("Breeds").putNull("Shore");
    node.put("Together", false).put("Scatter", scatter).put("Driftwood", false);
    node.put("ReckonS", guise.equals("standing") ? 0.0 : 600.0).put("MoultS", 0.0);
    node.put("StowS", 0.0).putNull("DueS");
    return node.toString();
  }
}
