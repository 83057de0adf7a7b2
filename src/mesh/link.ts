import {RawData, WebSocket} from 'ws';
import {Clock, Millis} from '../base/index.js';
import {decodeMessage, encodeMessage, MeshMessage} from './messages.js';

/** Moving average of the time of replies. */
const replyGain = 0.3;

/** A way to another node, or to this node's own other half. */
export interface Channel {
  send(message: MeshMessage): void;
  isOpen(): boolean;
  /** Time since which a question has had no reply; 0 if none is open. */
  getPendingReplyTime(): Millis;
  getAverageReplyTime(): Millis;
  /** Bytes that wait for the other side to read. */
  getBacklog(): number;
}

/** What happens on a link. */
export interface LinkHandlers {
  onMessage(message: MeshMessage): void;
  onMalformed(): void;
  onClose(): void;
}

/** One WebSocket between two nodes. */
export class Link implements Channel {
  private heardAt: Millis;
  private askedAt: Millis | undefined;
  private replyMs: Millis = 0;

  constructor(
    private readonly socket: WebSocket,
    private readonly clock: Clock,
    handlers: LinkHandlers,
  ) {
    this.heardAt = clock.getTime();
    socket.on('message', (data: RawData) => {
      this.recordHeard();
      const message = decodeMessage(data as Buffer);
      if (message) handlers.onMessage(message);
      else {
        handlers.onMalformed();
        socket.terminate();
      }
    });
    socket.on('error', () => socket.terminate());
    socket.on('close', () => handlers.onClose());
  }

  send(message: MeshMessage): void {
    if (!this.isOpen()) return;
    if (needsReply(message)) this.askedAt ??= this.clock.getTime();
    this.socket.send(encodeMessage(message));
  }

  /** Sends news that are encoded already and that have no reply. */
  sendEncoded(bytes: Buffer): void {
    if (this.isOpen()) this.socket.send(bytes);
  }

  isOpen(): boolean {
    return this.socket.readyState === WebSocket.OPEN;
  }

  getPendingReplyTime(): Millis {
    return this.askedAt === undefined ? 0 : this.clock.getTime() - this.askedAt;
  }

  getAverageReplyTime(): Millis {
    return this.replyMs;
  }

  getBacklog(): number {
    return this.socket.bufferedAmount;
  }

  /** Time since the last message of the other side. */
  getIdleTime(): Millis {
    return this.clock.getTime() - this.heardAt;
  }

  close(): void {
    this.socket.close();
  }

  abort(): void {
    this.socket.terminate();
  }

  private recordHeard(): void {
    const now = this.clock.getTime();
    this.heardAt = now;
    if (this.askedAt === undefined) return;
    this.replyMs += replyGain * (now - this.askedAt - this.replyMs);
    this.askedAt = undefined;
  }
}

function needsReply(message: MeshMessage): boolean {
  return message.kind === 'request' || message.kind === 'ping';
}

/** Two channels inside one process; messages arrive in order on a later turn of the event loop. */
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

  getBacklog(): number {
    return 0;
  }
}
