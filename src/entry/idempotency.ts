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

/** A non-idempotent request of which no byte has been sent to a backend server. */
export interface NonIdempotentRequest {
  readonly requestId: RequestId;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly route: Route;
  readonly service: Service;
  readonly deadline: Millis;
  readonly body: RequestBody;
}

/** Fields that replace those of a request once it holds its idempotency key. */
export interface HeldKeyFields {
  readonly heldKey: HeldKey;
  readonly deadline: Millis;
  readonly signal: AbortSignal;
}

/** Claims the idempotency keys of requests, and responds itself to requests that must not be sent. */
export class IdempotencyKeyHandler {
  constructor(
    private readonly keyClient: Pick<KeyClient, 'claim'>,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /**
   * Returns the fields to replace if the request now holds its key, and an empty object for a request without a key.
   * `answered` means that the request is finished, with a response unless its caller disconnected.
   */
  async claimKey(
    exchange: NonIdempotentRequest,
    account: AccountId,
  ): Promise<HeldKeyFields | Record<never, never> | 'answered'> {
    const key = exchange.request.headers['idempotency-key'];
    if (key === undefined) {
      if (!exchange.route.requireKey) return {};
      return this.refuse(exchange, {kind: 'key-required', ran: 'no'});
    }
    if (!keyPattern.test(String(key))) {
      return this.refuse(exchange, {kind: 'bad-key', ran: 'no'});
    }
    const id = makeKeyId(account, exchange.service.id, String(key));
    const fingerprint = makeRequestFingerprint(
      exchange.request.method ?? '',
      exchange.request.url ?? '',
      exchange.body.kind === 'buffered' ? exchange.body.bytes : null,
    );
    const claimResult = await this.keyClient.claim(
      id,
      fingerprint,
      exchange.deadline,
    );
    this.logger.info(
      {
        requestId: exchange.requestId,
        key: id,
        decision: claimResult.kind,
        reason: 'reason' in claimResult ? claimResult.reason : undefined,
      },
      'idempotency key claim decided',
    );
    return this.applyClaimResult(exchange, claimResult);
  }

  private applyClaimResult(
    exchange: NonIdempotentRequest,
    claimResult: ClaimResult,
  ): HeldKeyFields | 'answered' {
    switch (claimResult.kind) {
      case 'held':
        return this.applyHeldKey(exchange, claimResult.held);
      case 'answered':
        this.writeReplay(exchange, claimResult.outcome);
        return 'answered';
      case 'pending':
        return this.refuse(exchange, {kind: 'key-in-use', ran: 'unknown'});
      case 'mismatch':
        return this.refuse(exchange, {kind: 'key-mismatch', ran: 'no'});
      case 'undecided': {
        const isPastDeadline = this.clock.getTime() >= exchange.deadline;
        const kind = isPastDeadline ? 'deadline' : 'key-unavailable';
        return this.refuse(exchange, {kind, ran: 'no'});
      }
      default:
        return assertNever(claimResult);
    }
  }

  private applyHeldKey(
    exchange: NonIdempotentRequest,
    heldKey: HeldKey,
  ): HeldKeyFields | 'answered' {
    if (exchange.response.destroyed) {
      // The caller disconnected before anything was sent: release the key so that a retry can claim it.
      heldKey.release();
      return 'answered';
    }
    // A disconnect of the caller no longer cancels the request, so that a retry gets the recorded outcome.
    const {signal} = new AbortController();
    return {heldKey, deadline: heldKey.usableUntil, signal};
  }

  private refuse(
    exchange: NonIdempotentRequest,
    error: CallerError,
  ): 'answered' {
    this.logger.info(
      {requestId: exchange.requestId, ...error},
      'request failed',
    );
    if (!exchange.response.destroyed) {
      writeCallerError(exchange.response, exchange.requestId, error);
    }
    return 'answered';
  }

  private writeReplay(
    exchange: NonIdempotentRequest,
    outcome: KeyOutcome,
  ): void {
    const {response} = exchange;
    if (response.destroyed) return;
    response.statusCode = outcome.status;
    response.setHeader('fescuewheel-replayed', 'true');
    response.setHeader('fescuewheel-request-id', exchange.requestId);
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
 * Forwards the response body of a request with an idempotency key, and records the outcome once the body is complete.
 * The body is read to its end even if the caller disconnects. If the transfer fails, the key stays pending.
 */
export function forwardBody(
  backendResponse: Extract<GuardResult, {kind: 'answer'}>,
  heldKey: HeldKey,
): Readable {
  const {body} = backendResponse;
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
    heldKey.recordOutcome(
      makeOutcome(
        backendResponse,
        length,
        length > maxOutcomeBodyBytes ? [] : chunks,
      ),
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
  // Only the content type is recorded; an encoded body could not be decoded without its content-encoding header.
  const isBodyRecorded =
    length <= maxOutcomeBodyBytes && headers['content-encoding'] === undefined;
  return {
    status,
    contentType: headers['content-type'] ?? '',
    body: isBodyRecorded ? Buffer.concat(chunks).toString('base64') : null,
  };
}
