import {ServiceId} from '../base/index.js';
import {RetryLimits, ServerVerdict, WantedRequests} from '../dispatch/index.js';
import {GuardState, NamedLimit} from '../mesh/index.js';
import {BackendTracker} from './backend_tracker.js';

/** What the guard needs from the rest of the node. */
export interface GuardContext {
  /** Retry limits for this guard's share of its service. */
  getRetryLimits(service: ServiceId): RetryLimits;
  isShuttingDown(): boolean;
  countPeers(): number;
  /** Whether the configuration contains a service; reports for other services are foreign to this fleet. */
  isKnownService(service: ServiceId): boolean;
  /** Tells a few entries that the server is idle and needs a request. */
  reportIdle(service: ServiceId, wanted: WantedRequests): void;
  /** Called when the state that is published to other nodes has changed. */
  onStateChange(state: GuardState): void;
}

/** Makes the state of a guard that other nodes are told. */
export function makeGuardState(
  tracker: BackendTracker,
  isShuttingDown: boolean,
  verdict: ServerVerdict,
  limit: NamedLimit | undefined,
): GuardState {
  const departure = tracker.getDeparture();
  if (isShuttingDown) return {kind: 'closed', reason: 'leaving', departure};
  const backend = tracker.getReady();
  if (!backend) {
    const reason = tracker.getLatest() ? 'leaving' : 'no-server';
    return {kind: 'closed', reason, departure};
  }
  const {server, service, slots} = backend;
  return {kind: 'open', server, service, slots, verdict, limit};
}
