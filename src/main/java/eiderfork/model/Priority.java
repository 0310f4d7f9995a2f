package eiderfork.model;

/** The priority of a job, in descending order. */
public enum Priority {
  PRODUCTION,
  HIGH,
  STANDARD,
  LOW
}
