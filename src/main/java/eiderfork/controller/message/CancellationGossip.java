package eiderfork.controller.message;

import com.google.common.collect.ImmutableList;

/**
 * What a node sends one peer of the cancellations that it confirmed to users, in the order in which
 * it did. The numbers count from 1 within a process.
 *
 * @param processId names the process; another after each start
 * @param uptimeMs how long the process has run
 * @param afterNumber the number up to which the receiver is taken to know them already
 * @param uids the jobs that follow
 * @param complete whether no further ones follow: nothing else that matters was confirmed by this
 *     process after {@code afterNumber}
 * @param acknowledgedProcessId the receiver's process from which the sender received last
 * @param acknowledgedNumber the number up to which the sender knows what that process confirmed
 */
public record CancellationGossip(
    long processId,
    long uptimeMs,
    long afterNumber,
    ImmutableList<String> uids,
    boolean complete,
    long acknowledgedProcessId,
    long acknowledgedNumber) {
  /** Of a peer that sends nothing of cancellations. */
  public static final CancellationGossip NONE =
      new CancellationGossip(0, 0, 0, ImmutableList.of(), false, 0, 0);

  /** The number of the last confirmation that the receiver knows with this message. */
  public long lastNumber() {
    return afterNumber + uids.size();
  }
}
