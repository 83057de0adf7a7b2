/** Values for the settings of one node of a local fleet. */
export interface NodeSettingsPlan {
  readonly node: string;
  readonly host: string;
  /** First of five ports: backend server, callers, readiness, announcements, links. Each node has its own host. */
  readonly basePort: number;
  readonly dataCentre: string;
  readonly service: string;
  readonly storeAddress: string;
  readonly graceS: number;
}

/** Renders the settings file of a node in the format of the platform. */
export function renderNodeSettings(plan: NodeSettingsPlan): string {
  const {host, basePort} = plan;
  return `
[self]
node = "${plan.node}"
ip = "${host}"
zone = "${plan.dataCentre}"
app_addr = "${host}:${basePort}"
service = "${plan.service}"

[network]
internal_ports = [${basePort + 4}]

[network.listen]
outbound = "${host}:${basePort + 1}"
ready = "${host}:${basePort + 2}"
control = "${host}:${basePort + 3}"

[platform]
heartbeat_ms = 500

[platform.platform]
address = "${plan.storeAddress}"

[terms.bounds]
drain_ms = 2500
grace_s = ${plan.graceS}
budget_ratio = 0.2
budget_window_s = 10
budget_extra = 50
`;
}
