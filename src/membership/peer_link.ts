import {Clock, Millis, NodeId} from '../base/index.js';
import {FrameSocket} from './frame_socket.js';
import {encodeFrame, Frame, Heartbeat} from './frames.js';

// The other side acknowledges with its own heartbeat, up to a period later.
const acknowledgeMs: Millis = 1000;
// Beyond this backlog only heartbeats are sent; anti-entropy repairs what was left out.
const maxBacklogBytes = 2 * 1024 * 1024;

/** A proven link to one node, and when it last carried heartbeats both ways. */
export class PeerLink {
  private heardAtMs: Millis;
  private confirmedAtMs: Millis;
  private sequence = 0;
  private heardSequence = 0;
  private sentAt: readonly {sequence: number; atMs: Millis}[] = [];
  /** Incarnation that the other node gave in its heartbeats. */
  incarnation = 0;
  /** Since when the digests of both rosters differ. */
  digestsDifferSinceMs: Millis | undefined;
  versionsSentAtMs = -Infinity;

  constructor(
    readonly node: NodeId,
    readonly isDialled: boolean,
    readonly socket: FrameSocket,
    private readonly clock: Clock,
  ) {
    this.heardAtMs = clock.getTime();
    this.confirmedAtMs = this.heardAtMs;
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
    this.sentAt = [...this.sentAt.slice(-15), sent];
    const heartbeat: Heartbeat = {
      kind: 'heartbeat',
      ...state,
      sequence: this.sequence,
      acknowledged: this.heardSequence,
    };
    this.socket.send(encodeFrame(heartbeat));
  }

  recordHeartbeat(heartbeat: Heartbeat): void {
    this.heardAtMs = this.clock.getTime();
    this.heardSequence = heartbeat.sequence;
    this.incarnation = heartbeat.incarnation;
    const confirmed = this.sentAt.find(
      sent => sent.sequence === heartbeat.acknowledged,
    );
    if (confirmed) {
      this.confirmedAtMs = Math.max(this.confirmedAtMs, confirmed.atMs);
    }
  }

  /** Last time at which the link is known to have worked in both directions. */
  getLastContactTime(): Millis {
    return Math.min(this.heardAtMs, this.confirmedAtMs + acknowledgeMs);
  }
}
