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

/** Time in which a lost link may come back and bring the answer of a request that was sent over it. */
const reconnectMs: Millis = 3000;

/** What happens to one question to a guard, and to the request that is sent after it. */
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

/** One question to one guard. */
export interface GuardCall {
  readonly id: number;
  readonly node: NodeId;
}

interface OpenCall extends GuardCall {
  phase: 'asked' | 'sent';
  nextSeq: number;
  readonly onEvent: (call: GuardCall, event: CallEvent) => void;
}

type SlotRequestMessage = Extract<EntryMessage, {kind: 'request'}>;
type SendMessage = Extract<EntryMessage, {kind: 'send'}>;

/** Slots of a guard when it was last heard. */
export interface ReportedSlots extends SlotCounts {
  readonly at: Millis;
}

/** The entry's open questions and requests at all guards. */
export class GuardCalls {
  private readonly calls = new Map<number, OpenCall>();
  private readonly heard = new Map<NodeId, ReportedSlots>();
  private lastId = 0;

  constructor(
    private readonly getChannel: (node: NodeId) => Channel | undefined,
    private readonly onBusyChange: (node: NodeId, isBusy: boolean) => void,
    private readonly clock: Clock,
  ) {}

  /** Asks a guard for a slot. Events come until the call is closed or has ended. */
  open(
    node: NodeId,
    request: Omit<SlotRequestMessage, 'kind' | 'id'>,
    onEvent: OpenCall['onEvent'],
  ): GuardCall {
    this.lastId += 1;
    const call: OpenCall = {
      id: this.lastId,
      node,
      phase: 'asked',
      nextSeq: 0,
      onEvent,
    };
    this.calls.set(call.id, call);
    this.getChannel(node)?.send({kind: 'request', id: call.id, ...request});
    return call;
  }

  /** Sends the request in the slot that was granted. */
  send({id, node}: GuardCall, message: Omit<SendMessage, 'kind' | 'id'>): void {
    const call = this.calls.get(id);
    if (!call) return;
    call.phase = 'sent';
    this.onBusyChange(node, true);
    this.getChannel(node)?.send({kind: 'send', id, ...message});
  }

  /** Gives up a call; a run under way is cancelled. */
  close({id, node}: GuardCall): void {
    const call = this.calls.get(id);
    if (!call) return;
    this.remove(call);
    const kind = call.phase === 'sent' ? 'cancel' : 'withdraw';
    this.getChannel(node)?.send({kind, id});
  }

  getReportedSlots(node: NodeId): ReportedSlots | undefined {
    return this.heard.get(node);
  }

  countOpen(): number {
    return this.calls.size;
  }

  /** Takes a message of a guard. */
  handle(node: NodeId, message: GuardMessage): void {
    if ('news' in message) {
      this.heard.set(node, {...message.news, at: this.clock.getTime()});
    }
    const call = this.calls.get(message.id);
    if (!call || call.node !== node) {
      // A slot that was granted after the request went elsewhere must not stay taken.
      if (message.kind === 'granted') {
        this.getChannel(node)?.send({kind: 'withdraw', id: message.id});
      }
      return;
    }
    if ('seq' in message) {
      if (message.seq < call.nextSeq) return;
      call.nextSeq = message.seq + 1;
    }
    const isLast =
      message.kind === 'refused' ||
      message.kind === 'end' ||
      message.kind === 'failed';
    if (isLast) this.remove(call);
    call.onEvent(call, message);
  }

  /** Takes the loss of a link: what was only asked has failed, what was sent may still be answered over a new link. */
  onLinkLost(node: NodeId): void {
    this.heard.delete(node);
    for (const call of this.list(node)) {
      if (call.phase === 'asked') {
        this.remove(call);
        call.onEvent(call, {kind: 'refused', reason: 'link-lost'});
      }
    }
    const lost = new Set(this.list(node));
    this.clock.startTimer(reconnectMs, () => {
      if (this.getChannel(node)) return;
      for (const call of lost) this.endCall(call, 'link-lost', true);
    });
  }

  /** The guard doubts its server; requests under way there may be hung. */
  onSuspicion(node: NodeId): void {
    for (const call of this.list(node)) {
      if (call.phase === 'sent') call.onEvent(call, {kind: 'suspected'});
    }
  }

  /** The guard is another process than before: what was sent to the old one has no answer. */
  onRestart(node: NodeId): void {
    for (const call of this.list(node))
      this.endCall(call, 'node-restarted', true);
  }

  /** Takes the list of requests that a guard goes on with; what is not in it never reached the guard. */
  onHeldExchanges(node: NodeId, ids: readonly number[]): void {
    const held = new Set(ids);
    for (const call of this.list(node)) {
      if (call.phase === 'sent' && !held.has(call.id)) {
        this.endCall(call, 'link-lost', false);
      }
    }
  }

  private list(node: NodeId): readonly OpenCall[] {
    return [...this.calls.values()].filter(call => call.node === node);
  }

  private endCall(
    call: OpenCall,
    reason: ExchangeFailure,
    mayHaveRun: boolean,
  ): void {
    if (!this.calls.has(call.id)) return;
    this.remove(call);
    if (call.phase === 'asked') {
      call.onEvent(call, {kind: 'refused', reason: 'link-lost'});
    } else {
      call.onEvent(call, {
        kind: 'failed',
        reason,
        mayHaveRun,
        detail: `link to ${call.node} was lost`,
      });
    }
  }

  private remove(call: OpenCall): void {
    this.calls.delete(call.id);
    if (call.phase === 'sent' && this.list(call.node).length === 0) {
      this.onBusyChange(call.node, false);
    }
  }
}
