import {RawHeaders} from '../mesh/index.js';
import {CallerResponse} from './caller_response.js';
import {ResponseCredit} from './response_credit.js';

/** Responses up to this size are buffered and sent only when complete, so that a broken one can be retried. */
const maxBufferedBytes = 256 * 1024;

/** Status and headers of a response. */
export interface ResponseHead {
  readonly status: number;
  readonly headers: RawHeaders;
}

/** A complete response that has not been sent to the caller. */
export interface BufferedResponse extends ResponseHead {
  readonly chunks: readonly Uint8Array[];
}

/** The response of one attempt as it arrives: buffered at first, streamed to the caller if it is large. */
export class ArrivingResponse {
  private head: ResponseHead | undefined;
  private chunks: Uint8Array[] = [];
  private bytes = 0;
  private isStreamed = false;

  /** `onCredit` lets the guard send a total of bytes. */
  constructor(
    private readonly credit: ResponseCredit,
    private readonly response: CallerResponse,
    private readonly onCredit: (bytes: number) => void,
  ) {}

  getHead(): ResponseHead | undefined {
    return this.head;
  }

  /** The response, once it is complete; undefined if it has no head. */
  getBuffered(): BufferedResponse | undefined {
    return this.head && {...this.head, chunks: this.chunks};
  }

  setHead(head: ResponseHead): void {
    this.head = head;
  }

  /** Adds bytes of the body; returns whether the response must now be streamed, as no more of it can be buffered. */
  addChunk(bytes: Uint8Array): boolean {
    if (!this.head) return false;
    this.bytes += bytes.length;
    this.credit.recordReceived(bytes.length);
    if (this.isStreamed) this.writeChunk(bytes);
    else this.chunks.push(bytes);
    this.grantCredit();
    if (this.isStreamed) return false;
    return this.bytes > maxBufferedBytes || this.credit.isUsedUp();
  }

  /** Starts the response to the caller with what has arrived. */
  startStream(): void {
    if (!this.head) return;
    this.isStreamed = true;
    this.response.startStream(this.head.status, this.head.headers);
    for (const chunk of this.chunks) this.writeChunk(chunk);
    this.chunks = [];
  }

  /** Frees the memory that the response takes. */
  releaseMemory(): void {
    this.credit.release();
  }

  private writeChunk(bytes: Uint8Array): void {
    this.response.writeChunk(bytes, () => {
      this.credit.recordTaken(bytes.length);
      this.grantCredit();
    });
  }

  private grantCredit(): void {
    const bytes = this.credit.grantMore();
    if (bytes !== undefined) this.onCredit(bytes);
  }
}
