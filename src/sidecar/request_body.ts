import {IncomingMessage} from 'node:http';
import {ByteBudget, Clock, Millis} from '../base/index.js';
import {RequestBody} from './caller_request.js';

/** Limits on reading one request body. */
export interface BodyLimits {
  readonly maxBytes: number;
  readonly timeoutMs: Millis;
  /** What the node holds of request bodies. */
  readonly budget: ByteBudget;
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

/** Reads a body whole; its memory is claimed before it arrives if its length is declared, else as it arrives. */
export function readRequestBody(
  request: IncomingMessage,
  {maxBytes, timeoutMs, budget}: BodyLimits,
  clock: Clock,
): Promise<BodyResult> {
  const declared = Number(request.headers['content-length'] ?? 0);
  if (declared > maxBytes) return Promise.resolve({kind: 'too-large'});
  if (!budget.claim(declared)) return Promise.resolve({kind: 'busy'});
  let claimed = declared;
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    let isEnded = false;
    const finish = (result: BodyResult) => {
      if (isEnded) return;
      isEnded = true;
      timer.cancel();
      if (result.kind !== 'complete') budget.release(claimed);
      resolve(result);
    };
    const timer = clock.startTimer(timeoutMs, () => {
      request.destroy();
      finish({kind: 'aborted'});
    });
    request.on('data', (chunk: Buffer) => {
      if (isEnded) return;
      bytes += chunk.length;
      const missing = Math.max(0, bytes - claimed);
      const isTooLarge = bytes > maxBytes;
      if (isTooLarge || (missing > 0 && !budget.claim(missing))) {
        finish({kind: isTooLarge ? 'too-large' : 'busy'});
        request.pause();
        return;
      }
      claimed += missing;
      chunks.push(chunk);
    });
    request.once('end', () =>
      finish({
        kind: 'complete',
        body: chunks,
        release: () => budget.release(claimed),
      }),
    );
    request.once('error', () => finish({kind: 'aborted'}));
    request.once('close', () => finish({kind: 'aborted'}));
  });
}
