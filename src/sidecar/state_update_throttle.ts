import {Millis} from '../base/index.js';
import {GuardState} from '../mesh/index.js';

/** Minimum interval between two updates that differ only in the verdict. */
const minVerdictIntervalMs: Millis = 300;

/** Limits how often changes of a guard's state are published to all nodes. */
export class StateUpdateThrottle {
  private lastSent: GuardState | undefined;
  private lastSentAt: Millis = 0;

  /**
   * Whether to publish this state now; if so, records it as the last one sent. The verdict may flap while runs end, and
   * the guard itself always uses the current one.
   */
  admit(state: GuardState, now: Millis): boolean {
    const {lastSent} = this;
    if (lastSent && isSameState(lastSent, state)) return false;
    const isVerdictOnly =
      lastSent?.kind === 'open' &&
      state.kind === 'open' &&
      isSameState({...lastSent, verdict: state.verdict}, state);
    if (isVerdictOnly && now - this.lastSentAt < minVerdictIntervalMs)
      return false;
    this.lastSent = state;
    this.lastSentAt = now;
    return true;
  }
}

function isSameState(a: GuardState, b: GuardState): boolean {
  if (a.kind === 'closed' || b.kind === 'closed') {
    return a.kind === 'closed' && b.kind === 'closed' && a.reason === b.reason;
  }
  return (
    a.server === b.server &&
    a.service === b.service &&
    a.slots === b.slots &&
    a.verdict === b.verdict
  );
}
