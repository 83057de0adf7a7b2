import {Millis} from '../base/index.js';
import {GuardState} from '../mesh/index.js';

/** Pause between two messages of which only the verdict differs. */
const verdictPauseMs: Millis = 300;

/** Decides when a changed state of a guard is worth a message to all nodes. */
export class StateUpdateThrottle {
  private last: GuardState | undefined;
  private lastAt: Millis = 0;

  /** Whether to tell this state now. A verdict may flicker while runs end, and the guard itself goes by the newest. */
  admit(state: GuardState, now: Millis): boolean {
    const {last} = this;
    if (last && isSame(last, state)) return false;
    const isVerdictOnly =
      last?.kind === 'open' &&
      state.kind === 'open' &&
      isSame({...last, verdict: state.verdict}, state);
    if (isVerdictOnly && now - this.lastAt < verdictPauseMs) return false;
    this.last = state;
    this.lastAt = now;
    return true;
  }
}

function isSame(a: GuardState, b: GuardState): boolean {
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
