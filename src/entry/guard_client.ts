import {Agent, Dispatcher} from 'undici';
import {Clock, Millis} from '../base/index.js';
import {
  exchangeAbortError,
  FailureReason,
  GuardResult,
  GuardCall,
  isConnectError,
  nodeHeaders,
  pickForwardHeaders,
  RefusalReason,
  signCall,
  SlotLoad,
} from '../guard/index.js';

/** Time after the deadline in which the guard's own report of the timeout can still arrive. */
const deadlineGraceMs: Millis = 100;

/** HTTP client for the guards of other nodes. */
export class GuardClient {
  private readonly agent: Agent;

  constructor(
    private readonly clusterKey: string,
    private readonly clock: Clock,
    localAddress?: string,
  ) {
    this.agent = new Agent({
      connections: 256,
      pipelining: 1,
      // Shorter than the data port's 75 s, so that the client closes idle connections first and no request is sent on
      // a connection that the server is closing.
      keepAliveTimeout: 60_000,
      localAddress,
      connect: {timeout: 1000},
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }

  /** Sends a call to the guard at `host:port`; never throws. */
  async send(address: string, call: GuardCall): Promise<GuardResult> {
    const remaining = Math.round(call.deadline - this.clock.getTime());
    if (remaining <= 0) return {kind: 'refused', reason: 'deadline'};
    const controller = new AbortController();
    const abort = () => controller.abort(exchangeAbortError);
    let timedOut = false;
    // The guard enforces the deadline itself; this timer fires only if no reply of the guard arrives.
    const timer = this.clock.startTimer(remaining + deadlineGraceMs, () => {
      timedOut = true;
      abort();
    });
    const end = () => {
      timer.cancel();
      call.signal.removeEventListener('abort', abort);
    };
    call.signal.addEventListener('abort', abort);
    if (call.signal.aborted) abort();
    try {
      const response = await this.agent.request({
        origin: `http://${address}`,
        path: call.path,
        method: call.method as Dispatcher.HttpMethod,
        headers: {
          ...call.headers,
          [nodeHeaders.requestId]: call.requestId,
          [nodeHeaders.server]: call.server,
          [nodeHeaders.partner]: call.partner,
          [nodeHeaders.deadline]: String(remaining),
          ...(!call.mayQueue && {[nodeHeaders.queue]: 'no'}),
          [nodeHeaders.auth]: signCall(
            this.clusterKey,
            call.requestId,
            call.server,
          ),
        },
        body: call.body,
        signal: controller.signal,
      });
      response.body.once('close', end);
      return await readGuardResult(response);
    } catch (error) {
      end();
      if (isConnectError(error))
        return {kind: 'refused', reason: 'node-unreachable'};
      return {kind: 'failed', reason: timedOut ? 'no-reply' : 'node-lost'};
    }
  }

  async close(): Promise<void> {
    await this.agent.close();
  }
}

async function readGuardResult(
  response: Dispatcher.ResponseData,
): Promise<GuardResult> {
  const refused = response.headers[nodeHeaders.refused];
  const failed = response.headers[nodeHeaders.failed];
  const load = parseLoad(response.headers[nodeHeaders.load]);
  if (refused !== undefined) {
    await response.body.dump();
    return {kind: 'refused', reason: refused as RefusalReason, load};
  }
  if (failed !== undefined) {
    await response.body.dump();
    return {kind: 'failed', reason: failed as FailureReason};
  }
  return {
    kind: 'answer',
    status: response.statusCode,
    headers: pickForwardHeaders(response.headers),
    body: response.body,
    load,
  };
}

function parseLoad(
  header: string | string[] | undefined,
): SlotLoad | undefined {
  const [free, slots] = String(header ?? '')
    .split('/')
    .map(Number);
  return slots > 0 ? {free, slots} : undefined;
}
