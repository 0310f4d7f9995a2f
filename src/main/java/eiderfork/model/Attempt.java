package eiderfork.model;

/** An attempt to run a task; attempts are numbered per job. */
public record Attempt(TaskId task, long number) {}
