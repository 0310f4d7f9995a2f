package eiderfork.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the parsing of settings, and that errors name the file, the field and the reason. */
class SettingsTest {
  static final String VALID =
      """
      host_name = "roost-0"
      zone = "a"
      public_addr = "127.0.0.1:8080"
      peer_listen = "127.0.0.1:8081"
      unheard_of = [1, 2]
      [[others]]
      host_name = "roost-1"
      zone = "a"
      endpoint = "127.0.0.1:8082"
      [endpoints]
      cloud = "127.0.0.1:1"
      state = "127.0.0.1:2"
      [deployment]
      zones = ["a"]
      [[deployment.teams]]
      name = "red"
      gpus = 24.0
      gpus_max = 80.0
      [[deployment.objectives]]
      kind = "guarantee"
      within_s = 10.0
      share = 0.96
      [deployment.workers]
      report_s = 1.0
      lease_s = 10.0
      cancel_s = 30.0
      [deployment.state]
      rps = 150.0
      write_rps = 20.0
      value_kb = 8.0
      txn_ops = 16
      [deployment.cloud]
      rps = 1.5
      list_lag_s = 10.0
      [deployment.resources]
      cpu_share = 0.2
      sockets = 600
      memory_mb = 148.0
      """;

  private static String rejectionMessage(String text) {
    return assertThrows(
            InvalidSettingsException.class,
            () -> SettingsParser.parse("s.toml", text, OperatorSettings.DEFAULTS))
        .getMessage();
  }

  @Test
  void readsPlatformSettings() throws InvalidSettingsException {
    Settings settings = SettingsParser.parse("s.toml", VALID, OperatorSettings.DEFAULTS);
    assertEquals("roost-0", settings.nodeName());
    assertEquals(8082, settings.peerEndpoints().get("roost-1").port());
    assertEquals(80.0, settings.teams().get("red").maxGpus());
    assertEquals(10.0, settings.workerTimings().leaseS());
  }

  @Test
  void invalidSettingsHaveFileFieldAndReason() {
    String text = VALID.replace("lease_s = 10.0\n", "");
    InvalidSettingsException invalid =
        assertThrows(
            InvalidSettingsException.class,
            () -> SettingsParser.parse("s.toml", text, OperatorSettings.DEFAULTS));
    assertEquals("s.toml", invalid.file());
    assertEquals("deployment.workers.lease_s", invalid.field());
    assertEquals("missing or not above 0", invalid.reason());
  }

  @Test
  void namesFileFieldAndReason() {
    assertEquals(
        "s.toml: deployment.workers.lease_s: missing or not above 0",
        rejectionMessage(VALID.replace("lease_s = 10.0\n", "")));
    assertEquals(
        "s.toml: public_addr: not an address of the form host:port",
        rejectionMessage(VALID.replace("127.0.0.1:8080", "here")));
    assertEquals(
        "s.toml: host_name: must be a non-empty string",
        rejectionMessage(VALID.replace("\"roost-0\"", "4")));
    assertTrue(rejectionMessage("= = =").startsWith("s.toml: not TOML"));
  }

  @ParameterizedTest
  @CsvSource({
    "lease_s = 10.0,lease_s = 1.5,deployment.workers.lease_s",
    "cancel_s = 30.0,cancel_s = 11.0,deployment.workers.cancel_s",
    "value_kb = 8.0,value_kb = 0.25,deployment.state.value_kb",
    "txn_ops = 16,txn_ops = 1,deployment.state.txn_ops",
    "memory_mb = 148.0,memory_mb = 64.0,deployment.resources.memory_mb",
    "memory_mb = 148.0,memory_mb = -1,deployment.resources.memory_mb"
  })
  void rejectsInvalidOrInconsistentValues(String valid, String invalid, String field) {
    assertTrue(VALID.contains(valid));
    assertTrue(
        rejectionMessage(VALID.replace(valid, invalid)).startsWith("s.toml: " + field + ": "));
  }

  private static final String NEXT_LIMITS =
      """
      [deployment.state.next]
      write_rps = 15.0
      value_kb = 2.0
      txn_ops = 5
      """;

  @Test
  void readsNextStoreLimits() throws InvalidSettingsException {
    Settings settings =
        SettingsParser.parse("s.toml", VALID + NEXT_LIMITS, OperatorSettings.DEFAULTS);
    assertEquals(new Settings.StoreLimits(150, 20, 8, 16), settings.storeLimits());
    assertEquals(new Settings.StoreLimits(150, 15, 2, 5), settings.nextStoreLimits());
    assertEquals(2.0, settings.safeValueKb());
    Settings without = SettingsParser.parse("s.toml", VALID, OperatorSettings.DEFAULTS);
    assertEquals(without.storeLimits(), without.nextStoreLimits(), "no announced change");
  }

  @ParameterizedTest
  @CsvSource({
    "value_kb = 2.0,value_kb = 0.25,deployment.state.next.value_kb",
    "value_kb = 2.0,value_kb = \"2\",deployment.state.next.value_kb",
    "txn_ops = 5,txn_ops = 1,deployment.state.next.txn_ops",
    "write_rps = 15.0,write_rps = 0.0,deployment.state.next.write_rps"
  })
  void rejectsInvalidNextStoreLimits(String valid, String invalid, String field) {
    assertTrue(NEXT_LIMITS.contains(valid));
    assertTrue(
        rejectionMessage(VALID + NEXT_LIMITS.replace(valid, invalid))
            .startsWith("s.toml: " + field + ": "));
    assertTrue(
        rejectionMessage(VALID.replace("txn_ops = 16", "txn_ops = 16\nnext = 3"))
            .startsWith("s.toml: deployment.state.next: "));
  }

  @Test
  void readsObjectives() throws InvalidSettingsException {
    String objectives =
        """

        [[deployment.objectives]]
        kind = "deadline"
        class = "batch"
        share = 0.975
        times = 1.5

        [[deployment.objectives]]
        kind = "deadline"
        class = "batch"
        share = 0.9

        [[deployment.objectives]]
        kind = "wait"
        class = "web"
        share = 0.9
        within_s = 8.0

        [[deployment.objectives]]
        kind = "of-a-later-version"
        share = 0.9
        """;
    Settings settings =
        SettingsParser.parse("s.toml", VALID + objectives, OperatorSettings.DEFAULTS);
    assertEquals(List.of(1.0, 1.5), settings.deadlineFactors("batch"));
    assertEquals(List.of(1.0), settings.deadlineFactors("web"), "the job's own deadline");
    assertEquals(8.0, settings.shortestObjectiveS(Settings.Objective.Kind.WAIT, "web"));
    assertEquals(
        Double.MAX_VALUE,
        settings.shortestObjectiveS(Settings.Objective.Kind.WAIT, "batch"),
        "no objective");
    assertTrue(
        rejectionMessage(VALID + objectives.replace("times = 1.5", "times = \"often\""))
            .startsWith("s.toml: deployment.objectives.times: "));
  }

  @Test
  void readsOperatorSettingsWithDefaults() throws InvalidSettingsException {
    OperatorSettings operator =
        OperatorSettingsParser.parse("o.edn", "{:headroom 2.5 :spot false} ; ours");
    assertEquals(2.5, operator.headroomDeviations());
    assertFalse(operator.isSpotAllowed());
    assertEquals(OperatorSettings.DEFAULTS.updateWindowShare(), operator.updateWindowShare());
    assertEquals(3600, operator.endedJobRetentionS());
    OperatorSettings archive =
        OperatorSettingsParser.parse("o.edn", "{:ended-jobs-stay-s 60 :most-ended-jobs 500}");
    assertEquals(60, archive.endedJobRetentionS());
    assertEquals(500, archive.maxEndedJobs());
    assertEquals(0, operator.standbyCount(), "disabled by default");
    OperatorSettings standby =
        OperatorSettingsParser.parse("o.edn", "{:standbys 2 :trace-file \"/tmp/t\"}");
    assertEquals(2, standby.standbyCount());
    assertEquals("/tmp/t", standby.traceFile());
    assertFalse(operator.isLendingEnabled(), "disabled by default");
    OperatorSettings lending =
        OperatorSettingsParser.parse("o.edn", "{:lending true :loan-cooldown 2}");
    assertTrue(lending.isLendingEnabled());
    assertEquals(2.0, lending.loanCooldownBoots());
  }

  @ParameterizedTest
  @CsvSource({
    "{:lending 1}, o.edn: lending: not true or false",
    "{:lending true :loan-cooldown 0}, o.edn: loan-cooldown: not a number from 0.1 to 20.0",
    "{:lending true :loan-cooldown 21}, o.edn: loan-cooldown: not a number from 0.1 to 20.0",
    "{:lending false :loan-cooldown 1}, o.edn: loan-cooldown: needs :lending true",
    "{:loan-cooldown 1}, o.edn: loan-cooldown: needs :lending true"
  })
  void namesFileFieldAndReasonOfInvalidLendingEntries(String text, String message) {
    InvalidSettingsException invalid =
        assertThrows(
            InvalidSettingsException.class, () -> OperatorSettingsParser.parse("o.edn", text));
    assertEquals(message, invalid.getMessage());
  }

  @Test
  void rejectsInvalidOperatorSettings() {
    assertThrows(
        InvalidSettingsException.class,
        () -> OperatorSettingsParser.parse("o.edn", "{:hedroom 2}"));
    assertThrows(
        InvalidSettingsException.class,
        () -> OperatorSettingsParser.parse("o.edn", "{:headroom -1}"));
    assertThrows(
        InvalidSettingsException.class,
        () -> OperatorSettingsParser.parse("o.edn", "{:ended-jobs-stay-s 59}"));
    assertThrows(
        InvalidSettingsException.class,
        () -> OperatorSettingsParser.parse("o.edn", "{:most-ended-jobs -1}"));
    assertThrows(
        InvalidSettingsException.class,
        () -> OperatorSettingsParser.parse("o.edn", "{:standbys 3}"));
    assertThrows(
        InvalidSettingsException.class,
        () -> OperatorSettingsParser.parse("o.edn", "{:standbys 0.5}"));
    assertThrows(
        InvalidSettingsException.class,
        () -> OperatorSettingsParser.parse("o.edn", "{:trace-file 7}"));
    assertThrows(
        InvalidSettingsException.class, () -> OperatorSettingsParser.parse("o.edn", "[1 2]"));
    assertThrows(
        InvalidSettingsException.class, () -> OperatorSettingsParser.parse("o.edn", "{:spot"));
  }
}
