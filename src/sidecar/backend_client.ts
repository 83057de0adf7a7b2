import {Dispatcher} from 'undici';
import {
  BackendServerId,
  Clock,
  describeError,
  Millis,
  RequestId,
  ServiceId,
} from '../base/index.js';
import {ExchangeFailure, RawHeaders} from '../mesh/index.js';
import {platformHeaders as names} from '../../platform/headers.js';
import {
  BackendConnection,
  BackendConnectionPool,
} from './backend_connection_pool.js';
import {findHeader, pickEndToEnd} from './raw_headers.js';

/** After an answer that belongs to no request, connections are not used again for this long. */
const mistrustMs: Millis = 6000;

/** One request as it goes to the backend server. */
export interface BackendRequest {
  readonly requestId: RequestId;
  readonly server: BackendServerId;
  readonly address: string;
  readonly method: string;
  readonly target: string;
  readonly headers: RawHeaders;
  readonly body: Uint8Array | null;
  readonly caller: ServiceId | undefined;
  readonly deadlineAt: Millis;
  readonly signal: AbortSignal;
}

/** Takes an answer as it comes in; resolves when more is wanted. */
export interface ResponseSink {
  onHead(status: number, headers: RawHeaders): void;
  onChunk(bytes: Buffer): Promise<void> | void;
}

/** How an exchange with the backend server ended. */
export type BackendOutcome =
  | {readonly kind: 'answered'; readonly status: number}
  | {
      readonly kind: 'failed';
      readonly reason: ExchangeFailure;
      readonly mayHaveRun: boolean;
      readonly detail: string;
    };

/** Sends requests to the backend server of this VM and checks that each answer is whole and belongs to its request. */
export class BackendClient {
  private readonly connections: BackendConnectionPool;
  private mistrustUntil: Millis = 0;

  constructor(
    private readonly clock: Clock,
    localAddress: string,
  ) {
    this.connections = new BackendConnectionPool(localAddress);
  }

  async run(
    request: BackendRequest,
    sink: ResponseSink,
  ): Promise<BackendOutcome> {
    const remaining = Math.floor(request.deadlineAt - this.clock.getTime());
    if (remaining <= 0) {
      return {
        kind: 'failed',
        reason: 'deadline',
        mayHaveRun: false,
        detail: 'no time left',
      };
    }
    const mustBeNew = this.clock.getTime() < this.mistrustUntil;
    const connection = this.connections.claim(request.address, mustBeNew);
    const outcome = await this.runOn(request, remaining, connection, sink);
    const isClean = outcome.kind === 'answered' && !mustBeNew;
    this.connections.release(connection, isClean);
    return outcome;
  }

  private async runOn(
    request: BackendRequest,
    remaining: Millis,
    connection: BackendConnection,
    sink: ResponseSink,
  ): Promise<BackendOutcome> {
    let answer: Dispatcher.ResponseData;
    try {
      answer = await connection.client.request({
        path: request.target,
        method: request.method as Dispatcher.HttpMethod,
        headers: this.makeHeaders(request, remaining),
        body: request.body,
        signal: request.signal,
        responseHeaders: 'raw',
      });
    } catch (error) {
      return describeFailure(error);
    }
    // With `raw` the fields come as a flat list, which the types of undici do not tell.
    const headers = answer.headers as unknown as string[];
    const problem = this.findProblem(request, answer.statusCode, headers);
    if (problem) {
      answer.body.on('error', () => undefined).destroy();
      return problem;
    }
    sink.onHead(answer.statusCode, pickEndToEnd(headers));
    try {
      for await (const chunk of answer.body) await sink.onChunk(chunk);
    } catch (error) {
      return {...describeFailure(error), mayHaveRun: true};
    }
    // Without a length only the orderly end of the connection shows that the body is whole.
    if (connection.hasFailed) {
      return {
        kind: 'failed',
        reason: 'broken',
        mayHaveRun: true,
        detail: 'the connection broke at the end of the answer',
      };
    }
    return {kind: 'answered', status: answer.statusCode};
  }

  private makeHeaders(request: BackendRequest, remaining: Millis): string[] {
    return [
      ...request.headers,
      names.requestId,
      request.requestId,
      names.remainingMs,
      String(remaining),
      names.expectedServer,
      request.server,
      ...(request.caller ? [names.callerService, request.caller] : []),
    ];
  }

  private findProblem(
    request: BackendRequest,
    status: number,
    headers: string[],
  ): Extract<BackendOutcome, {kind: 'failed'}> | undefined {
    const echoed = findHeader(headers, names.requestId);
    if (echoed !== undefined && echoed !== request.requestId) {
      this.mistrustUntil = this.clock.getTime() + mistrustMs;
      return {
        kind: 'failed',
        reason: 'stray-answer',
        mayHaveRun: true,
        detail: `the answer belongs to ${echoed}`,
      };
    }
    if (status === 421) {
      return {
        kind: 'failed',
        reason: 'misdirected',
        mayHaveRun: false,
        detail: `the server is ${findHeader(headers, names.serverId)}`,
      };
    }
    if (findHeader(headers, names.notRun) !== undefined) {
      return {
        kind: 'failed',
        reason: 'shed',
        mayHaveRun: false,
        detail: `status ${status}`,
      };
    }
    const isSuccess = status >= 200 && status < 300;
    const isSigned = findHeader(headers, names.signature) !== undefined;
    const isEncoded = findHeader(headers, 'content-encoding') !== undefined;
    if (isSuccess && (!isSigned || isEncoded || echoed === undefined)) {
      return {
        kind: 'failed',
        reason: 'unsigned',
        mayHaveRun: true,
        detail: `status ${status}, signed ${isSigned}, encoded ${isEncoded}`,
      };
    }
    return undefined;
  }
}

const connectCodes: ReadonlySet<string | undefined> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

function describeFailure(
  error: unknown,
): Extract<BackendOutcome, {kind: 'failed'}> {
  const {code} = error as NodeJS.ErrnoException;
  const isConnect = connectCodes.has(code);
  return {
    kind: 'failed',
    reason: isConnect ? 'connect' : 'broken',
    mayHaveRun: !isConnect,
    detail: describeError(error),
  };
}
