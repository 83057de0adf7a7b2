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

/** Time beyond the deadline in which the guard's own word on it can arrive. */
const guardGraceMs: Millis = 100;

/** Calls the guards of other nodes. */
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
      // Shorter than the data port's 75 s, so that this side closes idle connections first and no request is
      // sent into a closing one.
      keepAliveTimeout: 60_000,
      localAddress,
      connect: {timeout: 1000},
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }

  /** Runs a call through the guard at `host:port`. */
  async send(address: string, call: GuardCall): Promise<GuardResult> {
    const remaining = Math.round(call.deadline - this.clock.getTime());
    if (remaining <= 0) return {kind: 'refused', reason: 'deadline'};
    const exchange = new AbortController();
    const abort = () => exchange.abort(exchangeAbortError);
    let timedOut = false;
    // The guard keeps the deadline itself; only one that cannot be heard lets this timer run out.
    const timer = this.clock.startTimer(remaining + guardGraceMs, () => {
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
      const answer = await this.agent.request({
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
        signal: exchange.signal,
      });
      answer.body.once('close', end);
      return await readGuardAnswer(answer);
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

async function readGuardAnswer(
  answer: Dispatcher.ResponseData,
): Promise<GuardResult> {
  const refused = answer.headers[nodeHeaders.refused];
  const failed = answer.headers[nodeHeaders.failed];
  const load = parseLoad(answer.headers[nodeHeaders.load]);
  if (refused !== undefined) {
    await answer.body.dump();
    return {kind: 'refused', reason: refused as RefusalReason, load};
  }
  if (failed !== undefined) {
    await answer.body.dump();
    return {kind: 'failed', reason: failed as FailureReason};
  }
  return {
    kind: 'answer',
    status: answer.statusCode,
    headers: pickForwardHeaders(answer.headers),
    body: answer.body,
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
