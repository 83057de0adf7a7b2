import {DataCentreId, Millis, NodeId, ServiceId} from '../base/index.js';

/** An address on which the node listens. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** Bounds on requests that are sent to a further backend server, summed over all nodes. */
export interface RetryBudgetSettings {
  /** Repeats for each request of the service. */
  readonly ratio: number;
  readonly windowMs: Millis;
  /** Repeats of a service allowed beyond the ratio in each window. */
  readonly extra: number;
}

/** What a sidecar node learns at its start. */
export interface SidecarSettings {
  readonly node: NodeId;
  readonly address: string;
  readonly dataCentre: DataCentreId;
  /** Where the backend server of this VM listens. */
  readonly backendAddress: string | undefined;
  /** Service of the backend server of this VM. */
  readonly service: ServiceId | undefined;
  readonly callers: ListenAddress;
  readonly readiness: ListenAddress;
  readonly announcements: ListenAddress;
  /** Port for links between nodes, the same on all nodes. */
  readonly linkPort: number;
  /** host:port at which other nodes reach the link port; it differs from the port itself if a relay lies before it. */
  readonly linkAddress: string;
  readonly storeUrl: string;
  /** Time from the signal to stop until the process is killed. */
  readonly graceMs: Millis;
  readonly repeats: RetryBudgetSettings;
}
