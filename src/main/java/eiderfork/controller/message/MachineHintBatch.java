package eiderfork.controller.message;

import com.google.common.collect.ImmutableList;

/**
 * One message of the stream of hints from a leader to its standbys.
 *
 * @param term the term of the leader
 * @param sequence counts up with each message of a term
 */
public record MachineHintBatch(long term, long sequence, ImmutableList<MachineHint> machines) {}
