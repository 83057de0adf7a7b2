import {Readable} from 'node:stream';
import {Dispatcher} from 'undici';
import {
  BackendServerId,
  Clock,
  countBytes,
  describeError,
  Millis,
  RequestId,
  ServiceId,
} from '../base/index.js';
import {ExchangeFailure, RawHeaders} from '../mesh/index.js';
import {platformHeaders as headerNames} from '../../platform/headers.js';
import {parseServerNotice} from '../../platform/server_notice.js';
import {
  BackendConnection,
  BackendConnectionPool,
} from './backend_connection_pool.js';
import {RequestBody} from './caller_request.js';
import {findHeader, pickEndToEnd} from './raw_headers.js';
import {ServerNotice} from './server_notice.js';

/** After a response with the id of another request, connections are not reused for this long. */
const noReuseMs: Millis = 6000;

/** One request to the backend server. */
export interface BackendRequest {
  readonly requestId: RequestId;
  readonly server: BackendServerId;
  readonly address: string;
  readonly method: string;
  readonly target: string;
  readonly headers: RawHeaders;
  /** In parts; empty if there is none. */
  readonly body: RequestBody;
  readonly caller: ServiceId | undefined;
  readonly deadlineAt: Millis;
  readonly signal: AbortSignal;
}

/** Consumes a response as it arrives; `onChunk` resolves when the sink can take more. */
export interface ResponseSink {
  /** Receives what an answer of the server says about it, before the head; also for answers that did not run. */
  onNotice(notice: ServerNotice): void;
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

/** Sends requests to this VM's backend server and checks that each response is complete and matches its request. */
export class BackendClient {
  private readonly connections: BackendConnectionPool;
  private noReuseUntil: Millis = 0;

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
    const remainingMs = Math.floor(request.deadlineAt - this.clock.getTime());
    if (remainingMs <= 0) {
      return {
        kind: 'failed',
        reason: 'deadline',
        mayHaveRun: false,
        detail: 'the deadline has passed',
      };
    }
    const mustBeNew = this.clock.getTime() < this.noReuseUntil;
    const connection = this.connections.claim(request.address, mustBeNew);
    const outcome = await this.runOn(request, remainingMs, connection, sink);
    const isClean = outcome.kind === 'answered' && !mustBeNew;
    this.connections.release(connection, isClean);
    return outcome;
  }

  private async runOn(
    request: BackendRequest,
    remainingMs: Millis,
    connection: BackendConnection,
    sink: ResponseSink,
  ): Promise<BackendOutcome> {
    let response: Dispatcher.ResponseData;
    try {
      response = await connection.client.request({
        path: request.target,
        method: request.method as Dispatcher.HttpMethod,
        headers: this.makeHeaders(request, remainingMs),
        body: makeBody(request.body),
        signal: request.signal,
        responseHeaders: 'raw',
      });
    } catch (error) {
      return describeFailure(error);
    }
    // With `raw`, undici returns the headers as a flat list, contrary to its types.
    const headers = response.headers as unknown as string[];
    const problem = this.findProblem(
      request,
      connection,
      response.statusCode,
      headers,
    );
    if (!problem || problem.reason === 'shed') {
      sink.onNotice(parseServerNotice(headers));
    }
    if (problem) {
      response.body.on('error', () => undefined).destroy();
      return problem;
    }
    sink.onHead(response.statusCode, pickEndToEnd(headers));
    try {
      for await (const chunk of response.body) await sink.onChunk(chunk);
    } catch (error) {
      return {...describeFailure(error), mayHaveRun: true};
    }
    // Without a content length, only an orderly close of the connection shows that the body is complete.
    if (connection.hasFailed) {
      return {
        kind: 'failed',
        reason: 'broken',
        mayHaveRun: true,
        detail: 'the connection failed at the end of the response',
      };
    }
    return {kind: 'answered', status: response.statusCode};
  }

  private makeHeaders(request: BackendRequest, remainingMs: Millis): string[] {
    const {body} = request;
    return [
      ...request.headers,
      ...(body.length > 1 ? ['content-length', String(countBytes(body))] : []),
      headerNames.requestId,
      request.requestId,
      headerNames.remainingMs,
      String(remainingMs),
      headerNames.expectedServer,
      request.server,
      ...(request.caller ? [headerNames.callerService, request.caller] : []),
    ];
  }

  private findProblem(
    request: BackendRequest,
    connection: BackendConnection,
    status: number,
    headers: string[],
  ): Extract<BackendOutcome, {kind: 'failed'}> | undefined {
    const echoedId = findHeader(headers, headerNames.requestId);
    if (echoedId !== undefined && echoedId !== request.requestId) {
      this.noReuseUntil = this.clock.getTime() + noReuseMs;
      return {
        kind: 'failed',
        reason: 'stray-answer',
        mayHaveRun: true,
        detail: `the response carries request id ${echoedId}`,
      };
    }
    const isNotRun =
      findHeader(headers, headerNames.notRun) !== undefined || status === 421;
    if (isNotRun && echoedId === undefined && connection.hasAnswered) {
      this.noReuseUntil = this.clock.getTime() + noReuseMs;
      return {
        kind: 'failed',
        reason: 'stray-answer',
        mayHaveRun: true,
        detail: `a refusal without a request id, status ${status}, on a used connection`,
      };
    }
    if (status === 421) {
      return {
        kind: 'failed',
        reason: 'misdirected',
        mayHaveRun: false,
        detail: `the server is ${findHeader(headers, headerNames.serverId)}`,
      };
    }
    if (findHeader(headers, headerNames.notRun) !== undefined) {
      return {
        kind: 'failed',
        reason: 'shed',
        mayHaveRun: false,
        detail: `status ${status}`,
      };
    }
    const isSuccess = status >= 200 && status < 300;
    const isSigned = findHeader(headers, headerNames.signature) !== undefined;
    const isEncoded = findHeader(headers, 'content-encoding') !== undefined;
    if (isSuccess && (!isSigned || isEncoded || echoedId === undefined)) {
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

/** Converts a body for the HTTP client, which writes one in several parts as the connection takes them. */
function makeBody(body: RequestBody): Uint8Array | Readable | null {
  return body.length > 1 ? Readable.from(body) : (body[0] ?? null);
}

const connectErrorCodes: ReadonlySet<string | undefined> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

function describeFailure(
  error: unknown,
): Extract<BackendOutcome, {kind: 'failed'}> {
  const {code} = error as NodeJS.ErrnoException;
  const isConnect = connectErrorCodes.has(code);
  return {
    kind: 'failed',
    reason: isConnect ? 'connect' : 'broken',
    mayHaveRun: !isConnect,
    detail: describeError(error),
  };
}
