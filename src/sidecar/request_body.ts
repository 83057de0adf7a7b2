import {IncomingMessage} from 'node:http';
import {Clock, Millis} from '../base/index.js';
import {maxInlineBodyBytes} from '../mesh/index.js';
import {RequestBody} from './caller_request.js';
import {BodyBudgets} from './memory_budgets.js';

/** Limits on reading one request body. */
export interface BodyLimits {
  readonly maxBytes: number;
  readonly timeoutMs: Millis;
  /** What the node holds of request bodies. */
  readonly budgets: BodyBudgets;
}

/**
 * Result of reading a request body. `busy`: the node holds too much to take it; `aborted`: the caller left, or the body
 * did not arrive in time. `release` returns the memory of a complete body to the budget; to be called once.
 */
export type BodyResult =
  | {
      readonly kind: 'complete';
      readonly body: RequestBody;
      readonly release: () => void;
    }
  | {readonly kind: 'too-large'}
  | {readonly kind: 'busy'}
  | {readonly kind: 'aborted'};

/** Memory claimed for one body, from the budget of small or of large ones. */
class BodyClaim {
  private claimed = 0;

  constructor(private readonly budgets: BodyBudgets) {}

  /** Raises the claim to a size; returns whether that fits. */
  claimTotal(bytes: number): boolean {
    if (bytes <= this.claimed) return true;
    const from = this.getBudget(this.claimed);
    const to = this.getBudget(bytes);
    const isMoved = from !== to;
    if (!to.claim(isMoved ? bytes : bytes - this.claimed)) return false;
    if (isMoved) from.release(this.claimed);
    this.claimed = bytes;
    return true;
  }

  release(): void {
    this.getBudget(this.claimed).release(this.claimed);
    this.claimed = 0;
  }

  private getBudget(bytes: number) {
    const {bodies, smallBodies} = this.budgets;
    return bytes > maxInlineBodyBytes ? bodies : smallBodies;
  }
}

/** Reads a body whole; its memory is claimed before it arrives if its length is declared, else as it arrives. */
export function readRequestBody(
  request: IncomingMessage,
  {maxBytes, timeoutMs, budgets}: BodyLimits,
  clock: Clock,
): Promise<BodyResult> {
  const declared = Number(request.headers['content-length'] ?? 0);
  if (declared > maxBytes) return Promise.resolve({kind: 'too-large'});
  const claim = new BodyClaim(budgets);
  if (!claim.claimTotal(declared)) return Promise.resolve({kind: 'busy'});
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    let isEnded = false;
    const finish = (result: BodyResult) => {
      if (isEnded) return;
      isEnded = true;
      timer.cancel();
      if (result.kind !== 'complete') claim.release();
      resolve(result);
    };
    const timer = clock.startTimer(timeoutMs, () => {
      request.destroy();
      finish({kind: 'aborted'});
    });
    request.on('data', (chunk: Buffer) => {
      if (isEnded) return;
      bytes += chunk.length;
      const isTooLarge = bytes > maxBytes;
      if (isTooLarge || !claim.claimTotal(bytes)) {
        finish({kind: isTooLarge ? 'too-large' : 'busy'});
        request.pause();
      } else {
        chunks.push(chunk);
      }
    });
    request.once('end', () =>
      finish({
        kind: 'complete',
        body: chunks,
        release: () => claim.release(),
      }),
    );
    request.once('error', () => finish({kind: 'aborted'}));
    request.once('close', () => finish({kind: 'aborted'}));
  });
}
