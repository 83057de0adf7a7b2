import {ByteBudget, Millis} from '../base/index.js';
import {EntryMessage} from '../mesh/index.js';

type SendMessage = Extract<EntryMessage, {kind: 'send'}>;

/** A request and the parts of its body that have arrived at the guard; its memory is claimed from a budget before. */
export class ReceivedBody {
  private chunks: Uint8Array[] = [];
  private received = 0;
  private message: SendMessage | undefined;
  private receivedAt: Millis = 0;
  private isReleased = false;

  /** Claims the declared size, of which only bodies that are sent in parts have one; the caller checks that it fits. */
  constructor(
    private readonly budget: ByteBudget,
    private readonly size: number,
  ) {
    budget.claim(size);
  }

  /** Takes the request; returns whether it is complete. */
  setRequest(message: SendMessage, now: Millis): boolean {
    this.message = message;
    this.receivedAt = now;
    if (message.body) this.chunks.push(message.body);
    return message.bodyBytes === undefined;
  }

  /** Adds a part; returns whether the request is now complete. Bytes beyond the declared size are dropped. */
  addPart(bytes: Uint8Array): boolean {
    if (this.received + bytes.length > this.size) return false;
    this.chunks.push(bytes);
    this.received += bytes.length;
    return this.received === this.message?.bodyBytes;
  }

  /** The complete request; the time that its body took counts towards its deadline. Undefined before its start. */
  getRequest(now: Millis):
    | {
        readonly message: SendMessage;
        readonly body: readonly Uint8Array[];
      }
    | undefined {
    if (!this.message) return undefined;
    const deadlineInMs =
      this.message.deadlineInMs - Math.round(now - this.receivedAt);
    return {message: {...this.message, deadlineInMs}, body: this.chunks};
  }

  /** Drops the parts and returns their memory to the budget; later calls have no effect. */
  release(): void {
    this.chunks = [];
    if (this.isReleased) return;
    this.isReleased = true;
    this.budget.release(this.size);
  }
}
