import {Relay} from '../standins/index.js';

/** Secrets of local fleets. */
export const localSecrets = {
  operatorToken: 'local-operator-token',
  clusterKey: 'local-cluster-key-0001',
};

/** Values in the settings of a local node. */
export interface SettingsInput {
  readonly id: string;
  readonly dataCentre: string;
  readonly region: string;
  readonly address: string;
  /** Ports for callers, data, peers, announcements and administration. */
  readonly ports: readonly number[];
  /** Relays in front of the data and the peer port; without them the node advertises the ports themselves. */
  readonly relays: readonly Relay[];
  readonly seeds: readonly string[];
  readonly logUrl: string;
}

/** Renders the settings file of a local node. */
export function renderSettings(input: SettingsInput): string {
  const {ports} = input;
  return `
[node]
id = "${input.id}"
data_centre = "${input.dataCentre}"
region = "${input.region}"
address = "${input.address}"
[ports]
callers = ${ports[0]}
data = ${ports[1]}
peers = ${ports[2]}
announce = ${ports[3]}
admin = ${ports[4]}
${renderAdvertise(input.relays)}
[peers]
seeds = ${JSON.stringify(input.seeds)}
cluster_key = "${localSecrets.clusterKey}"
[log]
url = "${input.logUrl}"
timeout = "1s"
[admin]
operator_token = "${localSecrets.operatorToken}"
`;
}

function renderAdvertise(relays: readonly Relay[]): string {
  if (relays.length === 0) return '';
  return `[advertise]\ndata = "${relays[0].address}"\npeers = "${relays[1].address}"`;
}
