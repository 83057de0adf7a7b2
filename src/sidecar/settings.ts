import {DataCentreId, Millis, NodeId, ServiceId} from '../base/index.js';

/** An address on which the node listens. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** Limits on retries, that is, on sending a request to a further backend server; summed over all nodes. */
export interface RetryBudgetSettings {
  /** Allowed retries per request of the service. */
  readonly ratio: number;
  readonly windowMs: Millis;
  /** Retries of a service allowed in each window in addition to the ratio. */
  readonly extra: number;
}

/** Settings of a sidecar node. */
export interface SidecarSettings {
  readonly node: NodeId;
  /** IP address of this VM, for links and metrics and as the local address of outgoing connections. */
  readonly address: string;
  readonly dataCentre: DataCentreId;
  /** Listen address of this VM's backend server. */
  readonly backendAddress: string | undefined;
  /** Service of the backend server of this VM. */
  readonly service: ServiceId | undefined;
  readonly callers: ListenAddress;
  readonly readiness: ListenAddress;
  /** Receives the heartbeats and deregistrations of this VM's backend server. */
  readonly announcements: ListenAddress;
  /** Port for links between nodes, the same on all nodes. */
  readonly linkPort: number;
  /** host:port at which other nodes reach the link port; differs from the port itself behind a relay. */
  readonly linkAddress: string;
  /** Memory in bytes above which the platform kills the process. */
  readonly memoryLimit: number;
  readonly storeUrl: string;
  /** Time from the stop signal until the process is killed. */
  readonly graceMs: Millis;
  readonly repeats: RetryBudgetSettings;
}
