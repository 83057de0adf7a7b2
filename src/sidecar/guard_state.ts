import {ServiceId} from '../base/index.js';
import {RetryLimits, ServerVerdict, WantedRequests} from '../dispatch/index.js';
import {GuardState} from '../mesh/index.js';
import {BackendPresence} from './backend_presence.js';
import {DepartureState} from './departures.js';
import {SidecarSettings} from './settings.js';

/** What the guard needs from the rest of the node. */
export interface GuardContext {
  /** Retry limits for this guard's share of its service. */
  getRetryLimits(service: ServiceId): RetryLimits;
  isShuttingDown(): boolean;
  countPeers(): number;
  /** Whether the configuration contains a service; reports for other services are foreign to this fleet. */
  isKnownService(service: ServiceId): boolean;
  /** Saves departures for the next process of this node; resolves with true once the store has them. */
  saveDepartures(departures: DepartureState): Promise<boolean>;
  /** Tells a few entries that the server is idle and needs a request. */
  reportIdle(service: ServiceId, wanted: WantedRequests): void;
  /** Called when the state that is published to other nodes has changed. */
  onStateChange(state: GuardState): void;
}

/** Settings that the guard needs. */
export type GuardSettings = Pick<
  SidecarSettings,
  'address' | 'backendAddress' | 'service'
>;

/** Makes the state of a guard that other nodes are told. */
export function makeGuardState(
  presence: BackendPresence,
  isShuttingDown: boolean,
  verdict: ServerVerdict,
): GuardState {
  const {tracker} = presence;
  const departure = tracker.getDeparture();
  if (isShuttingDown) return {kind: 'closed', reason: 'leaving', departure};
  const backend = presence.getReady();
  if (!backend) {
    const isLeaving = tracker.getLatest() && !tracker.getReady();
    const reason = isLeaving ? 'leaving' : 'no-server';
    return {kind: 'closed', reason, departure};
  }
  const {server, service, slots} = backend;
  return {
    kind: 'open',
    server,
    service,
    slots,
    verdict,
    limit: presence.getLimit(),
  };
}
