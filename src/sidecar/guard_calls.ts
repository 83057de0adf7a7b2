import {BackendServerId, Clock, Millis, NodeId} from '../base/index.js';
import {
  Channel,
  EntryMessage,
  ExchangeFailure,
  GuardMessage,
  RawHeaders,
  SlotCounts,
  SlotRefusal,
} from '../mesh/index.js';
import {findPartedSize, RequestBody} from './caller_request.js';

/** Time for a lost link to be re-established and deliver the response to a request sent over it. */
const reconnectTimeoutMs: Millis = 3000;

/** Unsent bytes on a link above which the parts of bodies wait, so that other messages are not held up. */
const maxBodyBacklogBytes = 256 * 1024;
const backlogCheckMs: Millis = 5;

/** Progress of a slot request to a guard and of the request that is sent once the slot is granted. */
export type CallEvent =
  | {readonly kind: 'granted'; readonly server: BackendServerId}
  | {readonly kind: 'queued'; readonly waitMs: Millis}
  | {readonly kind: 'refused'; readonly reason: SlotRefusal | 'link-lost'}
  | {
      readonly kind: 'head';
      readonly status: number;
      readonly headers: RawHeaders;
    }
  | {readonly kind: 'chunk'; readonly bytes: Uint8Array}
  | {readonly kind: 'suspected'}
  | {readonly kind: 'end'; readonly ranMs: Millis}
  | {
      readonly kind: 'failed';
      readonly reason: ExchangeFailure;
      readonly mayHaveRun: boolean;
      readonly detail: string;
    };

/** One slot request to one guard, and the request that is sent once the slot is granted. */
export interface GuardCall {
  readonly id: number;
  readonly node: NodeId;
}

interface OpenCall extends GuardCall {
  phase: 'requested' | 'sent';
  nextSeq: number;
  /** Bytes of the response body that the guard may send; undefined until they are extended. */
  credit: number | undefined;
  readonly onEvent: (call: GuardCall, event: CallEvent) => void;
}

type SlotRequestMessage = Extract<EntryMessage, {kind: 'request'}>;
type SendMessage = Extract<EntryMessage, {kind: 'send'}>;

/** A request to be sent, with its body in parts. */
type CallRequest = Omit<SendMessage, 'kind' | 'id' | 'body' | 'bodyBytes'> & {
  readonly body: RequestBody;
};

/** Slot counts last reported by a guard. */
export interface ReportedSlots extends SlotCounts {
  readonly at: Millis;
}

/** The entry's open slot requests and requests at all guards. */
export class GuardCalls {
  private readonly calls = new Map<number, OpenCall>();
  private readonly reportedSlots = new Map<NodeId, ReportedSlots>();
  private lastId = 0;

  constructor(
    private readonly getChannel: (node: NodeId) => Channel | undefined,
    /** Called with true when a request is sent to a guard, and with false when no call at it is left. */
    private readonly onBusyChange: (node: NodeId, isBusy: boolean) => void,
    private readonly clock: Clock,
  ) {}

  /** Requests a slot from a guard. Events are delivered until the call is closed or has ended. */
  open(
    node: NodeId,
    request: Omit<SlotRequestMessage, 'kind' | 'id'>,
    onEvent: OpenCall['onEvent'],
  ): GuardCall {
    this.lastId += 1;
    const call: OpenCall = {
      id: this.lastId,
      node,
      phase: 'requested',
      nextSeq: 0,
      credit: undefined,
      onEvent,
    };
    this.calls.set(call.id, call);
    this.getChannel(node)?.send({kind: 'request', id: call.id, ...request});
    return call;
  }

  /** Sends the request in the granted slot; a large body follows in parts, at the pace of the link. */
  send({id, node}: GuardCall, {body, ...request}: CallRequest): void {
    const call = this.calls.get(id);
    if (!call) return;
    call.phase = 'sent';
    this.onBusyChange(node, true);
    const channel = this.getChannel(node);
    if (!channel) return;
    const bodyBytes = findPartedSize(body);
    if (bodyBytes === undefined || !channel.hasFlowControl()) {
      const whole = body.length > 1 ? Buffer.concat(body) : (body[0] ?? null);
      channel.send({kind: 'send', id, ...request, body: whole});
      return;
    }
    channel.send({kind: 'send', id, ...request, body: null, bodyBytes});
    void this.sendBody(call, body, channel);
  }

  /** Sends a body until its call has ended or its link is lost, after which the guard drops what it has. */
  private async sendBody(
    {id}: OpenCall,
    body: RequestBody,
    channel: Channel,
  ): Promise<void> {
    for (const bytes of body) {
      while (channel.getBacklog() > maxBodyBacklogBytes && channel.isOpen()) {
        await this.clock.sleep(backlogCheckMs);
      }
      if (!this.calls.has(id) || !channel.isOpen()) return;
      channel.send({kind: 'body', id, bytes});
    }
  }

  /** Lets the guard send a total of bytes of the response body. */
  grantCredit({id}: GuardCall, bytes: number): void {
    const call = this.calls.get(id);
    if (!call) return;
    call.credit = bytes;
    this.sendCredit(call);
  }

  /** Abandons a call; a run in progress is cancelled. */
  close({id, node}: GuardCall): void {
    const call = this.calls.get(id);
    if (!call) return;
    this.removeCall(call);
    const kind = call.phase === 'sent' ? 'cancel' : 'withdraw';
    this.getChannel(node)?.send({kind, id});
  }

  getReportedSlots(node: NodeId): ReportedSlots | undefined {
    return this.reportedSlots.get(node);
  }

  countOpen(): number {
    return this.calls.size;
  }

  /** Dispatches a message of a guard to its call. */
  handle(node: NodeId, message: GuardMessage): void {
    if ('news' in message) {
      this.reportedSlots.set(node, {...message.news, at: this.clock.getTime()});
    }
    const call = this.calls.get(message.id);
    if (!call || call.node !== node) {
      // Releases a slot granted after the call was closed, which would otherwise stay taken until the grant expires.
      if (message.kind === 'granted') {
        this.getChannel(node)?.send({kind: 'withdraw', id: message.id});
      }
      return;
    }
    if ('seq' in message) {
      if (message.seq < call.nextSeq) return;
      if (message.seq > call.nextSeq) return this.endIncomplete(call);
      call.nextSeq = message.seq + 1;
    }
    const isFinal =
      message.kind === 'refused' ||
      message.kind === 'end' ||
      message.kind === 'failed';
    if (isFinal) this.removeCall(call);
    call.onEvent(call, message);
  }

  /** Fails pending slot requests on a lost link. Requests already sent may still get their response over a new link. */
  onLinkLost(node: NodeId): void {
    this.reportedSlots.delete(node);
    for (const call of this.listCalls(node)) {
      if (call.phase === 'requested') {
        this.removeCall(call);
        call.onEvent(call, {kind: 'refused', reason: 'link-lost'});
      }
    }
    const lostCalls = new Set(this.listCalls(node));
    this.clock.startTimer(reconnectTimeoutMs, () => {
      if (this.getChannel(node)) return;
      for (const call of lostCalls) this.endCall(call, 'link-lost', true);
    });
  }

  /** Notifies the calls at a guard that suspects its server: their requests may be hung. */
  onSuspicion(node: NodeId): void {
    for (const call of this.listCalls(node)) {
      if (call.phase === 'sent') call.onEvent(call, {kind: 'suspected'});
    }
  }

  /** Fails the calls at a restarted node: its new process has no response for them. */
  onRestart(node: NodeId): void {
    for (const call of this.listCalls(node))
      this.endCall(call, 'node-restarted', true);
  }

  /**
   * Fails sent requests that a reconnected guard does not list: they never reached it and were not run. Repeats the credit
   * of the others, as its message may have been lost with the link.
   */
  onHeldExchanges(node: NodeId, ids: readonly number[]): void {
    const heldIds = new Set(ids);
    for (const call of this.listCalls(node)) {
      if (call.phase === 'sent' && !heldIds.has(call.id)) {
        this.endCall(call, 'link-lost', false);
      } else {
        this.sendCredit(call);
      }
    }
  }

  private sendCredit({id, node, nextSeq, credit}: OpenCall): void {
    const channel = this.getChannel(node);
    if (credit === undefined || !channel?.hasFlowControl()) return;
    channel.send({kind: 'credit', id, seq: nextSeq, bytes: credit});
  }

  /** Fails a call whose guard no longer has the parts that were lost with a link, and cancels its run. */
  private endIncomplete(call: OpenCall): void {
    this.getChannel(call.node)?.send({kind: 'cancel', id: call.id});
    this.removeCall(call);
    call.onEvent(call, {
      kind: 'failed',
      reason: 'link-lost',
      mayHaveRun: true,
      detail: `parts of the response of ${call.node} were lost`,
    });
  }

  private listCalls(node: NodeId): readonly OpenCall[] {
    return [...this.calls.values()].filter(call => call.node === node);
  }

  private endCall(
    call: OpenCall,
    reason: ExchangeFailure,
    mayHaveRun: boolean,
  ): void {
    if (!this.calls.has(call.id)) return;
    this.removeCall(call);
    if (call.phase === 'requested') {
      call.onEvent(call, {kind: 'refused', reason: 'link-lost'});
    } else {
      call.onEvent(call, {
        kind: 'failed',
        reason,
        mayHaveRun,
        detail: `the link to ${call.node} was lost`,
      });
    }
  }

  private removeCall(call: OpenCall): void {
    this.calls.delete(call.id);
    if (call.phase === 'sent' && this.listCalls(call.node).length === 0) {
      this.onBusyChange(call.node, false);
    }
  }
}
