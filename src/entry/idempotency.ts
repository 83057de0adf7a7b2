import {IncomingMessage, ServerResponse} from 'node:http';
import {PassThrough, Readable} from 'node:stream';
import {
  AccountId,
  assertNever,
  Clock,
  Logger,
  Millis,
  RequestId,
} from '../base/index.js';
import {Route, Service} from '../config/index.js';
import {GuardResult} from '../guard/index.js';
import {
  HeldKey,
  KeyClient,
  ClaimResult,
  KeyOutcome,
  makeKeyId,
  makeRequestFingerprint,
  maxOutcomeBodyBytes,
} from '../once/index.js';
import {RequestBody} from './body.js';
import {CallerError, writeCallerError} from './caller_error.js';

const keyPattern = /^[\x21-\x7e]{1,255}$/;

/** A non-idempotent request before any byte of it is sent. */
export interface NonIdempotentRequest {
  readonly requestId: RequestId;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly route: Route;
  readonly service: Service;
  readonly deadline: Millis;
  readonly body: RequestBody;
}

/** What changes for a request that holds its key. */
export interface HeldKeyFields {
  readonly held: HeldKey;
  readonly deadline: Millis;
  readonly signal: AbortSignal;
}

/** Claims the keys of non-idempotent requests, and answers those that must not be sent. */
export class IdempotencyKeyHandler {
  constructor(
    private readonly keys: Pick<KeyClient, 'claim'>,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /** Gives the hold of a keyed request, nothing for a request without a key; `answered` ends the request. */
  async claimKey(
    job: NonIdempotentRequest,
    account: AccountId,
  ): Promise<HeldKeyFields | Record<never, never> | 'answered'> {
    const key = job.request.headers['idempotency-key'];
    if (key === undefined) {
      if (!job.route.requireKey) return {};
      return this.refuse(job, {kind: 'key-required', ran: 'no'});
    }
    if (!keyPattern.test(String(key))) {
      return this.refuse(job, {kind: 'bad-key', ran: 'no'});
    }
    const id = makeKeyId(account, job.service.id, String(key));
    const print = makeRequestFingerprint(
      job.request.method ?? '',
      job.request.url ?? '',
      job.body.kind === 'held' ? job.body.bytes : null,
    );
    const decision = await this.keys.claim(id, print, job.deadline);
    this.logger.info(
      {
        requestId: job.requestId,
        key: id,
        decision: decision.kind,
        reason: 'reason' in decision ? decision.reason : undefined,
      },
      'key decided',
    );
    return this.useDecision(job, decision);
  }

  private useDecision(
    job: NonIdempotentRequest,
    decision: ClaimResult,
  ): HeldKeyFields | 'answered' {
    switch (decision.kind) {
      case 'held':
        return this.useHeld(job, decision.held);
      case 'answered':
        this.writeReplay(job, decision.outcome);
        return 'answered';
      case 'pending':
        return this.refuse(job, {kind: 'key-in-use', ran: 'unknown'});
      case 'mismatch':
        return this.refuse(job, {kind: 'key-mismatch', ran: 'no'});
      case 'undecided': {
        const isLate = this.clock.getTime() >= job.deadline;
        const kind = isLate ? 'deadline' : 'key-unavailable';
        return this.refuse(job, {kind, ran: 'no'});
      }
      default:
        return assertNever(decision);
    }
  }

  private useHeld(
    job: NonIdempotentRequest,
    held: HeldKey,
  ): HeldKeyFields | 'answered' {
    if (job.response.destroyed) {
      // The caller is gone; its retry shall find the key free.
      held.release();
      return 'answered';
    }
    // From here on a caller that goes away does not cancel the request: its retry shall find the outcome.
    const {signal} = new AbortController();
    return {held, deadline: held.usableUntil, signal};
  }

  private refuse(job: NonIdempotentRequest, error: CallerError): 'answered' {
    this.logger.info({requestId: job.requestId, ...error}, 'not answered');
    if (!job.response.destroyed) {
      writeCallerError(job.response, job.requestId, error);
    }
    return 'answered';
  }

  private writeReplay(job: NonIdempotentRequest, outcome: KeyOutcome): void {
    const {response} = job;
    if (response.destroyed) return;
    response.statusCode = outcome.status;
    response.setHeader('fescuewheel-replayed', 'true');
    response.setHeader('fescuewheel-request-id', job.requestId);
    if (outcome.contentType) {
      response.setHeader('content-type', outcome.contentType);
    }
    if (outcome.body === null) {
      response.setHeader('fescuewheel-body-omitted', 'true');
    }
    response.end(Buffer.from(outcome.body ?? '', 'base64'));
  }
}

/**
 * Forwards the body of an answer to a keyed request, and records the outcome once the body is whole. The body is
 * read to its end even if the caller goes away. A body that breaks leaves the key pending.
 */
export function forwardBody(
  answer: Extract<GuardResult, {kind: 'answer'}>,
  held: HeldKey,
): Readable {
  const {body} = answer;
  const forwarded = new PassThrough();
  const chunks: Buffer[] = [];
  let length = 0;
  body.on('data', (chunk: Buffer) => {
    length += chunk.length;
    if (length <= maxOutcomeBodyBytes) chunks.push(chunk);
    if (!forwarded.destroyed && !forwarded.write(chunk)) body.pause();
  });
  forwarded.on('drain', () => body.resume());
  forwarded.on('close', () => body.resume());
  forwarded.on('error', () => body.resume());
  body.on('end', () => {
    forwarded.end();
    held.recordOutcome(
      makeOutcome(answer, length, length > maxOutcomeBodyBytes ? [] : chunks),
    );
  });
  body.on('error', error => forwarded.destroy(error));
  return forwarded;
}

function makeOutcome(
  {status, headers}: Extract<GuardResult, {kind: 'answer'}>,
  length: number,
  chunks: readonly Buffer[],
): KeyOutcome {
  // The other headers are not kept, and an encoded body cannot be read without them.
  const isKept =
    length <= maxOutcomeBodyBytes && headers['content-encoding'] === undefined;
  return {
    status,
    contentType: headers['content-type'] ?? '',
    body: isKept ? Buffer.concat(chunks).toString('base64') : null,
  };
}
