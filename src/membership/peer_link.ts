import {Clock, Millis, NodeId} from '../base/index.js';
import {FrameSocket} from './frame_socket.js';
import {encodeFrame, Frame, Heartbeat} from './frames.js';

// The other side acknowledges a heartbeat in its own next heartbeat, up to one interval later.
const maxAcknowledgeDelayMs: Millis = 1000;
// Above this backlog only heartbeats are sent; records missed with the dropped frames are found by comparing digests.
const maxBacklogBytes = 2 * 1024 * 1024;

/** An authenticated link to a node; tracks when heartbeats last passed in both directions. */
export class PeerLink {
  private receivedAtMs: Millis;
  private acknowledgedAtMs: Millis;
  private sequence = 0;
  private receivedSequence = 0;
  private recentlySent: readonly {sequence: number; atMs: Millis}[] = [];
  /** Incarnation in the last heartbeat of the other node. */
  incarnation = 0;
  /** Time since which the roster digests of the two nodes differ. */
  digestsDifferSinceMs: Millis | undefined;
  /** When the full list of versions was last sent. */
  versionsSentAtMs = -Infinity;

  constructor(
    readonly node: NodeId,
    readonly isDialled: boolean,
    readonly socket: FrameSocket,
    private readonly clock: Clock,
  ) {
    this.receivedAtMs = clock.getTime();
    this.acknowledgedAtMs = this.receivedAtMs;
  }

  send(frame: Frame): void {
    this.sendBytes(encodeFrame(frame));
  }

  sendBytes(bytes: Buffer): void {
    if (this.socket.getBacklog() <= maxBacklogBytes) this.socket.send(bytes);
  }

  sendHeartbeat(
    state: Pick<Heartbeat, 'incarnation' | 'configVersion' | 'digest'>,
  ): void {
    this.sequence += 1;
    const sent = {sequence: this.sequence, atMs: this.clock.getTime()};
    this.recentlySent = [...this.recentlySent.slice(-15), sent];
    const heartbeat: Heartbeat = {
      kind: 'heartbeat',
      ...state,
      sequence: this.sequence,
      acknowledged: this.receivedSequence,
    };
    this.socket.send(encodeFrame(heartbeat));
  }

  recordHeartbeat(heartbeat: Heartbeat): void {
    this.receivedAtMs = this.clock.getTime();
    this.receivedSequence = heartbeat.sequence;
    this.incarnation = heartbeat.incarnation;
    const acknowledged = this.recentlySent.find(
      sent => sent.sequence === heartbeat.acknowledged,
    );
    if (acknowledged) {
      this.acknowledgedAtMs = Math.max(
        this.acknowledgedAtMs,
        acknowledged.atMs,
      );
    }
  }

  /** Returns the last time at which the link is known to have worked in both directions. */
  getLastContactTime(): Millis {
    return Math.min(
      this.receivedAtMs,
      this.acknowledgedAtMs + maxAcknowledgeDelayMs,
    );
  }
}
