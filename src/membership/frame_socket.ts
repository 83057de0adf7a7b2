import {RawData, WebSocket} from 'ws';

const pauseReadingAtFrames = 64;
const resumeReadingAtFrames = 16;

/** A frame as received. */
export interface RawFrame {
  readonly bytes: Buffer;
  readonly isBinary: boolean;
}

/** Counts of frames and their bytes, without the headers of WebSocket and the layers below. */
export interface Traffic {
  readonly sentBytes: number;
  readonly sentFrames: number;
  readonly receivedBytes: number;
  readonly receivedFrames: number;
}

/** Traffic counts of zero. */
export const noTraffic: Traffic = {
  sentBytes: 0,
  sentFrames: 0,
  receivedBytes: 0,
  receivedFrames: 0,
};

export function addTraffic(a: Traffic, b: Traffic): Traffic {
  return {
    sentBytes: a.sentBytes + b.sentBytes,
    sentFrames: a.sentFrames + b.sentFrames,
    receivedBytes: a.receivedBytes + b.receivedBytes,
    receivedFrames: a.receivedFrames + b.receivedFrames,
  };
}

/** A WebSocket read as a sequence of frames, with backpressure on the sender. */
export class FrameSocket {
  private frames: RawFrame[] = [];
  private wakeReader: (() => void) | undefined;
  private ended = false;
  private traffic = noTraffic;

  constructor(private readonly socket: WebSocket) {
    socket.on('message', (data: RawData, isBinary: boolean) => {
      const bytes = data as Buffer;
      this.countFrame({receivedBytes: bytes.length, receivedFrames: 1});
      this.frames.push({bytes, isBinary});
      if (this.frames.length >= pauseReadingAtFrames) socket.pause();
      this.wakeReader?.();
    });
    // An oversized or malformed frame raises an error here and closes only this link.
    socket.on('error', () => socket.terminate());
    socket.on('close', () => {
      this.ended = true;
      this.wakeReader?.();
    });
  }

  /** Resolves to true when the connection is open and to false when it has failed. */
  async waitForOpen(): Promise<boolean> {
    if (this.socket.readyState === WebSocket.CONNECTING) {
      await new Promise<void>(resolve => {
        this.socket.once('open', () => resolve());
        this.socket.once('close', () => resolve());
      });
    }
    return this.socket.readyState === WebSocket.OPEN;
  }

  /** Returns the next frame, or undefined after the connection has closed. One reader at a time. */
  async receive(): Promise<RawFrame | undefined> {
    while (this.frames.length === 0 && !this.ended) {
      await new Promise<void>(resolve => (this.wakeReader = resolve));
      this.wakeReader = undefined;
    }
    const frame = this.frames.shift();
    if (this.socket.isPaused && this.frames.length <= resumeReadingAtFrames) {
      this.socket.resume();
    }
    return frame;
  }

  send(data: Buffer | string): void {
    if (this.socket.readyState !== WebSocket.OPEN) return;
    this.countFrame({sentBytes: data.length, sentFrames: 1});
    this.socket.send(data);
  }

  /** Bytes queued for sending that are not yet written to the network. */
  getBacklog(): number {
    return this.socket.bufferedAmount;
  }

  /** Closes the connection; the close code gives the other side the reason. */
  close(code: number): void {
    this.socket.close(code);
  }

  onClose(listener: (code: number) => void): void {
    this.socket.once('close', listener);
  }

  abort(): void {
    this.socket.terminate();
  }

  getTraffic(): Traffic {
    return this.traffic;
  }

  private countFrame(part: Partial<Traffic>): void {
    this.traffic = addTraffic(this.traffic, {...noTraffic, ...part});
  }
}
