import {RawData, WebSocket} from 'ws';
import {Clock, describeError, Millis} from '../base/index.js';
import {decodeMessage, encodeMessage, MeshMessage} from './messages.js';

/** Weight of a new sample in the moving average of reply times. */
const replyTimeSmoothing = 0.3;

/** Sends messages to another node, or between the entry and the guard of this node. */
export interface Channel {
  send(message: MeshMessage): void;
  isOpen(): boolean;
  /** Time since the oldest request or ping after which nothing was received; 0 if there is none. */
  getPendingReplyTime(): Millis;
  /** Moving average of the time from a request or ping to the next message received. */
  getAverageReplyTime(): Millis;
  /** Whether the other side obeys the credit of responses. */
  hasFlowControl(): boolean;
  /** Bytes queued for sending that are not yet written to the network. */
  getBacklog(): number;
}

/** Callbacks for the events of a link. */
export interface LinkHandlers {
  onMessage(message: MeshMessage): void;
  /** A frame is no message, or handling it failed with the error. */
  onMalformed(error?: string): void;
  onClose(): void;
}

/** A WebSocket connection between two nodes. */
export class Link implements Channel {
  private lastReceivedAt: Millis;
  private unansweredSince: Millis | undefined;
  private averageReplyMs: Millis = 0;
  private isFlowControlled = false;

  constructor(
    private readonly socket: WebSocket,
    private readonly clock: Clock,
    handlers: LinkHandlers,
  ) {
    this.lastReceivedAt = clock.getTime();
    socket.on('message', (data: RawData) => {
      this.recordReceived();
      const message = decodeMessage(data as Buffer);
      try {
        if (message) return handlers.onMessage(message);
        handlers.onMalformed();
      } catch (error) {
        // A message of a peer must not end the process.
        handlers.onMalformed(describeError(error));
      }
      socket.terminate();
    });
    socket.on('error', () => socket.terminate());
    socket.on('close', () => handlers.onClose());
  }

  send(message: MeshMessage): void {
    if (!this.isOpen()) return;
    if (needsReply(message)) this.unansweredSince ??= this.clock.getTime();
    this.socket.send(encodeMessage(message));
  }

  /** Sends an encoded message that needs no reply. */
  sendEncoded(bytes: Buffer): void {
    if (this.isOpen()) this.socket.send(bytes);
  }

  isOpen(): boolean {
    return this.socket.readyState === WebSocket.OPEN;
  }

  getPendingReplyTime(): Millis {
    return this.unansweredSince === undefined
      ? 0
      : this.clock.getTime() - this.unansweredSince;
  }

  getAverageReplyTime(): Millis {
    return this.averageReplyMs;
  }

  hasFlowControl(): boolean {
    return this.isFlowControlled;
  }

  /** Records what the other side's hello says. */
  setFlowControl(isFlowControlled: boolean): void {
    this.isFlowControlled = isFlowControlled;
  }

  getBacklog(): number {
    return this.socket.bufferedAmount;
  }

  /** Time since the last message from the other side. */
  getIdleTime(): Millis {
    return this.clock.getTime() - this.lastReceivedAt;
  }

  close(): void {
    this.socket.close();
  }

  abort(): void {
    this.socket.terminate();
  }

  private recordReceived(): void {
    const now = this.clock.getTime();
    this.lastReceivedAt = now;
    if (this.unansweredSince === undefined) return;
    this.averageReplyMs +=
      replyTimeSmoothing * (now - this.unansweredSince - this.averageReplyMs);
    this.unansweredSince = undefined;
  }
}

function needsReply(message: MeshMessage): boolean {
  return message.kind === 'request' || message.kind === 'ping';
}

/** A channel inside one process; messages are delivered in order and asynchronously, as microtasks. */
export class LocalChannel implements Channel {
  constructor(private readonly onMessage: (message: MeshMessage) => void) {}

  send(message: MeshMessage): void {
    queueMicrotask(() => this.onMessage(message));
  }

  isOpen(): boolean {
    return true;
  }

  getPendingReplyTime(): Millis {
    return 0;
  }

  getAverageReplyTime(): Millis {
    return 0;
  }

  hasFlowControl(): boolean {
    return true;
  }

  getBacklog(): number {
    return 0;
  }
}
