package eiderfork.controller.registry;

/** The leader's command channel to one worker: its fencing token and direct commands. */
public final class CommandChannel {
  private final MachineState machine;
  private final MachineIndexes indexes;

  /** The token that commands are sent with; 0 until one is issued in this term. */
  private long fencingToken;

  /** The largest token with which a start was sent in a direct command; 0 for none. */
  private long directStartToken;

  private boolean commandDue;
  private boolean commandInFlight;
  private int unansweredCommands;
  private long nextCommandMs;
  private long unresponsiveSinceMs;

  CommandChannel(MachineState machine, MachineIndexes indexes) {
    this.machine = machine;
    this.indexes = indexes;
  }

  /** The token that commands are currently sent with; 0 until one is issued in this term. */
  public long fencingToken() {
    return fencingToken;
  }

  /**
   * Issues the worker's first token of the term unless it already has one, and adopts the token
   * that it reports: a lease proxy may have raised it, and the worker drops answers with a lower
   * one.
   */
  public void issueOrAdoptToken(long firstToken, long reportedToken) {
    if (fencingToken == 0) {
      fencingToken = firstToken;
    }
    fencingToken = Math.max(fencingToken, reportedToken);
  }

  /** Raises the token to at least {@code minToken}. */
  public void raiseTokenTo(long minToken) {
    fencingToken = Math.max(fencingToken, minToken);
  }

  /**
   * Raises the token above all tokens sent so far and above {@code minToken}, so that the worker no
   * longer executes any unanswered command.
   */
  public void raiseTokenAbove(long minToken) {
    fencingToken = Math.max(fencingToken, minToken) + 1;
  }

  /**
   * Raises the token above that of direct starts, so that a delayed duplicate of a direct command
   * can't start a task a second time.
   */
  public void invalidateDirectStarts() {
    if (fencingToken <= directStartToken) {
      fencingToken = directStartToken + 1;
    }
  }

  /** Records that a start is sent in a direct command under the current token. */
  public void recordDirectStart() {
    directStartToken = fencingToken;
  }

  /** Returns whether commands should be sent without waiting for the next heartbeat. */
  public boolean isCommandDue() {
    return commandDue;
  }

  /** Requests that commands are sent without waiting for the next heartbeat. */
  void markCommandDue() {
    commandDue = true;
    indexes.addCommandDue(machine);
  }

  /** Clears the request after its commands were sent or left to the next heartbeat. */
  public void clearCommandDue() {
    commandDue = false;
    indexes.removeCommandDue(machine);
  }

  /** Returns whether a direct command awaits its reply. */
  public boolean isCommandInFlight() {
    return commandInFlight;
  }

  /** Records that a direct command is sent. */
  public void onDirectCommandSent() {
    commandInFlight = true;
    indexes.addCommandInFlight(machine);
  }

  /** Records that a direct command was answered or has timed out. */
  public void onDirectCommandEnded() {
    commandInFlight = false;
    indexes.removeCommandInFlight(machine);
  }

  /** Records that the worker replied to a direct command. */
  public void onReply() {
    unansweredCommands = 0;
  }

  /** Records that a direct command got no reply; none is sent before {@code retryMs}. */
  public void onNoReply(long retryMs) {
    unansweredCommands++;
    nextCommandMs = retryMs;
  }

  /** The number of consecutive direct commands that got no reply. */
  public int unansweredCommands() {
    return unansweredCommands;
  }

  /** Returns whether a direct command may be sent now. */
  public boolean canSendDirectCommand(long nowMs) {
    return !commandInFlight && nowMs >= nextCommandMs;
  }

  /** Records the largest token that the worker has seen, as reported in its heartbeat. */
  public void onHeartbeat(long reportedToken, long nowMs) {
    if (reportedToken >= fencingToken) {
      unresponsiveSinceMs = 0;
      unansweredCommands = 0;
    } else if (unresponsiveSinceMs == 0) {
      unresponsiveSinceMs = nowMs;
    }
  }

  /**
   * The time since which heartbeats report a token older than the current one; 0 while they report
   * the current one.
   */
  public long unresponsiveSinceMs() {
    return unresponsiveSinceMs;
  }
}
