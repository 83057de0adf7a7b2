import {write} from 'node:fs';
import {Millis} from './clock.js';

/** Bytes of log lines that wait to be written; later lines are dropped and counted. */
const maxPendingBytes = 1024 * 1024;
const stdoutDescriptor = 1;
/** Lines of this span share a write: one write a line was a fifth of the processor time of a request. */
const batchMs: Millis = 50;

/** Writes lines to a descriptor without ever blocking: one write at a time, in batches, dropping what exceeds a bound. */
export class LogOutput {
  private pending: string[] = [];
  private pendingBytes = 0;
  private dropped = 0;
  private isWriting = false;

  constructor(
    private readonly descriptor: number = stdoutDescriptor,
    private readonly writeBytes: typeof write = write,
  ) {}

  /** Called by the logger with one line. */
  write(line: string): void {
    if (this.pendingBytes + line.length > maxPendingBytes) {
      this.dropped += 1;
      return;
    }
    this.pending.push(line);
    this.pendingBytes += line.length;
    if (!this.isWriting) {
      this.isWriting = true;
      setTimeout(() => this.writePending(), batchMs);
    }
  }

  private writePending(): void {
    if (this.dropped > 0) {
      this.pending.push(
        JSON.stringify({
          level: 40,
          msg: 'log lines dropped',
          count: this.dropped,
        }) + '\n',
      );
      this.dropped = 0;
    }
    const bytes = Buffer.from(this.pending.join(''));
    this.pending = [];
    this.pendingBytes = 0;
    this.writeFrom(bytes, 0);
  }

  private writeFrom(bytes: Buffer, from: number): void {
    this.writeBytes(
      this.descriptor,
      bytes,
      from,
      bytes.length - from,
      null,
      (error, written) => {
        const next = from + (written ?? 0);
        const isBusy = error?.code === 'EAGAIN';
        if (error && !isBusy) {
          // The reader has gone; there is nowhere left to report it.
          this.isWriting = false;
          return;
        }
        if (next < bytes.length) {
          setTimeout(() => this.writeFrom(bytes, next), isBusy ? 20 : 0);
        } else if (this.pending.length > 0) {
          this.writePending();
        } else {
          this.isWriting = false;
        }
      },
    );
  }
}
