package eiderfork.controller.registry;

/** The leader's command channel to one worker: its fencing token and its direct commands. */
public final class CommandChannel {
  private final MachineState machine;
  private final MachineIndexes indexes;

  /** The token that commands are sent with; 0 until one was issued in this term. */
  private long fencingToken;

  /** The largest token that a start was sent with in direct commands; 0 for none. */
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

  /** The token that commands are sent with now; 0 until one was issued in this term. */
  public long fencingToken() {
    return fencingToken;
  }

  /** Issues the worker's first token of a term unless it has one. */
  public void issueFirstToken(long firstToken) {
    if (fencingToken == 0) {
      fencingToken = firstToken;
    }
  }

  /** Raises the token to at least {@code minToken}. */
  public void raiseTokenTo(long minToken) {
    fencingToken = Math.max(fencingToken, minToken);
  }

  /**
   * Raises the token above all that was sent and above {@code minToken}, so that no unanswered
   * command is executed any more.
   */
  public void raiseTokenAbove(long minToken) {
    fencingToken = Math.max(fencingToken, minToken) + 1;
  }

  /** Raises the token above that of direct starts: a late copy would repeat them. */
  public void invalidateDirectStarts() {
    if (fencingToken <= directStartToken) {
      fencingToken = directStartToken + 1;
    }
  }

  /** A start is sent in direct commands under the current token. */
  public void recordDirectStart() {
    directStartToken = fencingToken;
  }

  /** Whether commands should be sent without waiting for the next heartbeat. */
  public boolean isCommandDue() {
    return commandDue;
  }

  /** Commands should be sent without waiting for the next heartbeat. */
  void markCommandDue() {
    commandDue = true;
    indexes.addCommandDue(machine);
  }

  /** The commands that were due are sent, or wait for the next heartbeat. */
  public void clearCommandDue() {
    commandDue = false;
    indexes.removeCommandDue(machine);
  }

  /** Whether a direct command awaits its reply. */
  public boolean isCommandInFlight() {
    return commandInFlight;
  }

  /** A direct command is sent. */
  public void onDirectCommandSent() {
    commandInFlight = true;
    indexes.addCommandInFlight(machine);
  }

  /** A direct command was answered or has timed out. */
  public void onDirectCommandEnded() {
    commandInFlight = false;
    indexes.removeCommandInFlight(machine);
  }

  /** The worker replied to a direct command. */
  public void onReply() {
    unansweredCommands = 0;
  }

  /** A direct command got no reply; the next one is sent at {@code retryMs} at the earliest. */
  public void onNoReply(long retryMs) {
    unansweredCommands++;
    nextCommandMs = retryMs;
  }

  /** How many direct commands in a row got no reply. */
  public int unansweredCommands() {
    return unansweredCommands;
  }

  /** Whether a direct command may be sent now. */
  public boolean canSendDirectCommand(long nowMs) {
    return !commandInFlight && nowMs >= nextCommandMs;
  }

  /** A heartbeat shows the largest token that the worker has seen. */
  public void onHeartbeat(long shownToken, long nowMs) {
    if (shownToken >= fencingToken) {
      unresponsiveSinceMs = 0;
      unansweredCommands = 0;
    } else if (unresponsiveSinceMs == 0) {
      unresponsiveSinceMs = nowMs;
    }
  }

  /** Since when heartbeats fail to show the token that was sent; 0 while they show it. */
  public long unresponsiveSinceMs() {
    return unresponsiveSinceMs;
  }
}
