import {ByteBudget, Clock, Logger, Millis} from '../base/index.js';
import {
  EntryMessage,
  ExchangeFailure,
  GuardMessage,
  SlotCounts,
} from '../mesh/index.js';
import {BackendClient, BackendOutcome} from './backend_client.js';
import {BackendReport} from './backend_tracker.js';
import {RequestBody} from './caller_request.js';
import {Exchange, Session} from './guard_sessions.js';
import {ServerNotice} from './server_notice.js';

/** Unsent bytes on the link of an entry without flow control above which reading from the backend server pauses. */
const maxSendBacklogBytes = 1024 * 1024;
/** Interval at which a paused run checks again whether it may go on. */
const pauseCheckMs: Millis = 20;

type SendMessage = Extract<EntryMessage, {kind: 'send'}>;

/** Runs exchanges against the backend server and forwards the parts of responses to their entries. */
export class ExchangeRunner {
  private readonly client: BackendClient;

  constructor(
    localAddress: string,
    private readonly getSlotCounts: () => SlotCounts,
    private readonly retainedParts: ByteBudget,
    /** Drops retained parts of ended exchanges; returns false if there are none. */
    private readonly removeRetainedParts: () => boolean,
    private readonly onNotice: (
      backend: BackendReport,
      notice: ServerNotice,
    ) => void,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    this.client = new BackendClient(clock, localAddress);
  }

  /** Sends the request and streams head and body to the entry; `sendEnd` or `sendFailure` must report the end. */
  async run(
    exchange: Exchange,
    message: SendMessage,
    body: RequestBody,
    backend: BackendReport,
  ): Promise<BackendOutcome> {
    const startedAt = this.clock.getTime();
    const {requestId, route, isRepeat} = exchange.message;
    const {signal} = exchange.abort;
    const outcome = await this.client.run(
      {
        requestId,
        server: backend.server,
        address: backend.address,
        method: message.method,
        target: message.target,
        headers: message.headers,
        body,
        caller: message.caller,
        deadlineAt: startedAt + message.deadlineInMs,
        signal,
      },
      {
        onNotice: notice => this.onNotice(backend, notice),
        onHead: (status, headers) => {
          const {id} = exchange;
          const seq = exchange.parts.claimSeq();
          this.sendPart(exchange, {kind: 'head', id, seq, status, headers});
        },
        onChunk: bytes => this.sendBody(exchange, bytes),
      },
    );
    this.logger.info(
      {
        requestId,
        route,
        server: backend.server,
        isRepeat,
        ranMs: Math.round(this.clock.getTime() - startedAt),
        outcome: outcome.kind === 'answered' ? outcome.status : outcome.reason,
        detail: outcome.kind === 'failed' ? outcome.detail : undefined,
        isCancelled: signal.aborted,
      },
      'run ended',
    );
    return outcome;
  }

  /** Reports to the entry that the response is complete. */
  sendEnd(exchange: Exchange, ranMs: Millis): void {
    this.sendPart(exchange, {
      kind: 'end',
      id: exchange.id,
      seq: exchange.parts.claimSeq(),
      ranMs: Math.round(ranMs),
      news: this.getSlotCounts(),
    });
  }

  sendFailure(
    exchange: Exchange,
    reason: ExchangeFailure,
    mayHaveRun: boolean,
    detail: string,
  ): void {
    this.sendPart(exchange, {
      kind: 'failed',
      id: exchange.id,
      seq: exchange.parts.claimSeq(),
      reason,
      mayHaveRun,
      detail,
      news: this.getSlotCounts(),
    });
  }

  /** Fails a request whose grant has expired; it was not sent to the server. */
  refuseSend(session: Session, id: number): void {
    session.channel?.send({
      kind: 'failed',
      id,
      seq: 0,
      reason: 'revoked',
      mayHaveRun: false,
      detail: 'the grant has expired',
      news: this.getSlotCounts(),
    });
  }

  private sendPart(exchange: Exchange, part: GuardMessage): void {
    exchange.parts.add(part);
    exchange.session.channel?.send(part);
  }

  /** Sends bytes of the body as far as the entry's credit allows; the backend server is not read meanwhile. */
  private async sendBody(exchange: Exchange, bytes: Buffer): Promise<void> {
    const {signal} = exchange.abort;
    const {id, session, window, parts} = exchange;
    let position = 0;
    while (position < bytes.length) {
      const isUnlimited = session.channel?.hasFlowControl() === false;
      if (!isUnlimited) await window.waitUntilFree(signal);
      await this.waitForMemory(exchange);
      if (signal.aborted) return;
      const size = isUnlimited ? bytes.length : window.getFree();
      const piece = bytes.subarray(position, position + size);
      position += piece.length;
      window.recordSent(piece.length);
      const seq = parts.claimSeq();
      this.sendPart(exchange, {kind: 'chunk', id, seq, bytes: piece});
      if (isUnlimited) await this.waitUntilBacklogDrains(exchange);
    }
  }

  /** Waits while retained parts use up the memory, unless the exchange itself retains none. */
  private waitForMemory({abort, parts}: Exchange): Promise<void> {
    return this.waitWhile(
      abort.signal,
      () =>
        parts.getBytes() > 0 &&
        this.retainedParts.isExhausted() &&
        !this.removeRetainedParts(),
    );
  }

  private waitUntilBacklogDrains({abort, session}: Exchange): Promise<void> {
    return this.waitWhile(
      abort.signal,
      () => (session.channel?.getBacklog() ?? 0) > maxSendBacklogBytes,
    );
  }

  private async waitWhile(
    signal: AbortSignal,
    isBlocked: () => boolean,
  ): Promise<void> {
    while (!signal.aborted && isBlocked()) {
      await this.clock.sleep(pauseCheckMs, signal);
    }
  }
}
