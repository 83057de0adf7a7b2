import {Millis} from '../base/index.js';
import {GuardState} from '../mesh/index.js';

/** Minimum interval between two updates that differ only in the verdict or the figure of a limit. */
const minFigureIntervalMs: Millis = 300;
/** Lengthens that interval per peer, so that a node receives at most 125 such updates a second from all others. */
const figureIntervalPerPeerMs: Millis = 8;

/** Limits how often changes of a guard's state are published to all nodes. */
export class StateUpdateThrottle {
  private lastSent: GuardState | undefined;
  private lastSentAt: Millis = 0;

  /**
   * Whether to publish this state to all peers now; if so, records it as the last one sent. The verdict may flap while
   * runs end; the guard itself always uses the current one, and its replies carry it.
   */
  admit(state: GuardState, peers: number, now: Millis): boolean {
    const {lastSent} = this;
    if (lastSent && isSameState(lastSent, state)) return false;
    const isFigureOnly =
      lastSent?.kind === 'open' &&
      state.kind === 'open' &&
      (lastSent.limit === undefined) === (state.limit === undefined) &&
      isSameState(
        {...lastSent, verdict: state.verdict, limit: state.limit},
        state,
      );
    const intervalMs = Math.max(
      minFigureIntervalMs,
      peers * figureIntervalPerPeerMs,
    );
    if (isFigureOnly && now - this.lastSentAt < intervalMs) return false;
    this.lastSent = state;
    this.lastSentAt = now;
    return true;
  }
}

function isSameState(a: GuardState, b: GuardState): boolean {
  if (a.kind === 'closed' || b.kind === 'closed') {
    return (
      a.kind === 'closed' &&
      b.kind === 'closed' &&
      a.reason === b.reason &&
      a.departure?.startedAtMs === b.departure?.startedAtMs &&
      a.departure?.server === b.departure?.server
    );
  }
  return (
    a.server === b.server &&
    a.service === b.service &&
    a.slots === b.slots &&
    a.verdict === b.verdict &&
    a.limit?.perSecond === b.limit?.perSecond
  );
}
