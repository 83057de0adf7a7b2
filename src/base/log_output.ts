import {write} from 'node:fs';
import {Millis} from './clock.js';

/** Bound on buffered log lines; further lines are dropped and counted. */
const maxPendingBytes = 1024 * 1024;
const stdoutDescriptor = 1;
/** Lines within this interval share one write; a write per line took a fifth of the CPU time of a request. */
const batchMs: Millis = 50;

/** Writes log lines to a file descriptor in batches, one write at a time; drops lines rather than block the process. */
export class LogOutput {
  private pending: string[] = [];
  private pendingBytes = 0;
  private dropped = 0;
  private isWriting = false;

  constructor(
    private readonly descriptor: number = stdoutDescriptor,
    private readonly writeBytes: typeof write = write,
  ) {}

  /** Buffers one line; the logger calls this method of its stream. */
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
          // The output itself has failed, for example because its reader closed it, so it cannot report the error.
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
