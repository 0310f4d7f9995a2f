/** The deployment parts of the settings files of two sites, as their pages state them. */
final class Deployments {
  static final String OPTIKA =
      """
      [deployment]
      initial_size = 3
      zones = ["almaty-tau"]
      skew_ms = 250.0
      [[deployment.teams]]
      name = "zakaz-bolimi"
      [[deployment.teams]]
      name = "ontaily-zerthana"
      [[deployment.teams]]
      name = "kiyim-qyzmeti"
      [[deployment.teams]]
      name = "zhana-zhuye"
      [[deployment.teams]]
      name = "shagala-optics"
      [[deployment.objectives]]
      kind = "wait"
      class = "kozildirik"
      within_s = 2.0
      share = 0.85
      [deployment.workers]
      report_s = 1.0
      lease_s = 10.0
      gang_wait_s = 40.0
      gang_peer_s = 8.0
      cancel_s = 35.0
      [deployment.state]
      rps = 150.0
      write_rps = 20.0
      value_kb = 8.0
      txn_ops = 16
      [deployment.cloud]
      rps = 1.5
      list_lag_s = 10.0
      [deployment.resources]
      cpu_share = 0.17
      memory_mb = 148.0
      sockets = 600
      """;

  static final String SKRIFTHUS =
      """
      [deployment]
      initial_size = 3
      zones = ["bergen-vest", "stavanger-sor"]
      skew_ms = 5.0
      [[deployment.teams]]
      name = "skriftlaget"
      gpus = 24.0
      gpus_max = 80.0
      [[deployment.objectives]]
      kind = "wait"
      class = "parsett-rush"
      within_s = 8.0
      share = 0.93
      [deployment.workers]
      report_s = 1.0
      lease_s = 10.0
      gang_wait_s = 35.0
      gang_peer_s = 6.0
      cancel_s = 30.0
      [deployment.state]
      rps = 250.0
      write_rps = 25.0
      value_kb = 4.0
      txn_ops = 12
      [deployment.cloud]
      rps = 2.0
      list_lag_s = 6.0
      [deployment.resources]
      cpu_share = 0.34
      memory_mb = 176.0
      sockets = 800
      """;

  private Deployments() {}
}
