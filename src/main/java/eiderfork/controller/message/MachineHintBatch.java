package eiderfork.controller.message;

import com.google.common.collect.ImmutableList;

/**
 * A message in the stream of hints from a leader to its standbys.
 *
 * @param term the leader's term
 * @param sequence the message's sequence number within the term
 */
public record MachineHintBatch(long term, long sequence, ImmutableList<MachineHint> machines) {}
