package eiderfork.model;

/** One attempt to run a task, numbered within the job. */
public record Attempt(TaskId task, long number) {}
