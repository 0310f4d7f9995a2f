package eiderfork.controller.message;

import com.google.common.collect.ImmutableList;

/**
 * Cancellations that a node has confirmed to users, as sent to one peer. Each process numbers its
 * confirmations consecutively from 1 and sends them in that order.
 *
 * @param processId the id of the sending process; a node has a new one after each start
 * @param uptimeMs the time since the process started
 * @param afterNumber the number of the last confirmation that the receiver is assumed to know
 * @param uids the jobs of the confirmations that follow {@code afterNumber}, in order
 * @param complete true if the process has confirmed no other cancellation after {@code afterNumber}
 *     that is still relevant
 * @param acknowledgedProcessId the receiver's process that the sender last received gossip from
 * @param acknowledgedNumber the number of the last confirmation of that process that the sender
 *     knows
 */
public record CancellationGossip(
    long processId,
    long uptimeMs,
    long afterNumber,
    ImmutableList<String> uids,
    boolean complete,
    long acknowledgedProcessId,
    long acknowledgedNumber) {
  /** The value for a peer whose status contains no gossip about cancellations. */
  public static final CancellationGossip NONE =
      new CancellationGossip(0, 0, 0, ImmutableList.of(), false, 0, 0);

  /** Returns the number of the last confirmation that this message contains. */
  public long lastNumber() {
    return afterNumber + uids.size();
  }
}
