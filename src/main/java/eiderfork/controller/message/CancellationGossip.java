package eiderfork.controller.message;

import com.google.common.collect.ImmutableList;

/**
 * What a node tells one peer of the cancellations that it confirmed to users, in the order in which
 * it did. The numbers count from 1 within a process.
 *
 * @param process names the process; another after each start
 * @param upMs how long the process has run
 * @param after the number up to which the receiver is taken to know them already
 * @param uids the jobs that follow
 * @param complete whether no further ones follow: nothing else that matters was confirmed by this
 *     process after {@code after}
 * @param heardProcess the receiver's process of which the sender heard last
 * @param heardUpTo the number up to which the sender knows what that process confirmed
 */
public record CancellationGossip(
    long process,
    long upMs,
    long after,
    ImmutableList<String> uids,
    boolean complete,
    long heardProcess,
    long heardUpTo) {
  /** Of a peer that says nothing of cancellations. */
  public static final CancellationGossip NONE =
      new CancellationGossip(0, 0, 0, ImmutableList.of(), false, 0, 0);

  /** The number of the last confirmation that the receiver knows with this message. */
  public long upTo() {
    return after + uids.size();
  }
}
