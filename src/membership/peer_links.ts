import * as E from 'fp-ts/lib/Either.js';
import * as t from 'io-ts';
import {pack, unpack} from 'msgpackr';
import {WebSocket, WebSocketServer} from 'ws';
import {
  Clock,
  decodeWith,
  isSameSecret,
  Logger,
  Millis,
  runEvery,
  signParts,
} from '../base/index.js';
import {NodeRecord, nodeRecordCodec} from './node_record.js';
import {Roster} from './roster.js';

const maxFrameBytes = 1024 * 1024;
const redialMs: Millis = 500;

/** Where this node listens for peers and whom it dials. */
export interface PeerLinksOptions {
  /** host:port to listen on. */
  readonly listen: string;
  readonly localAddress: string;
  /** Addresses, host:port, of nodes to dial at start. */
  readonly seeds: readonly string[];
  readonly clusterKey: string;
  readonly spreadMs: Millis;
}

/** Links to other nodes; each carries node records both ways. */
export class PeerLinks {
  private readonly links = new Set<WebSocket>();

  constructor(
    private readonly options: PeerLinksOptions,
    private readonly roster: Roster,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /** Listens, dials the seeds and spreads records until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const [host, port] = this.options.listen.split(':');
    const server = new WebSocketServer({
      host,
      port: Number(port),
      maxPayload: maxFrameBytes,
      verifyClient: ({req}: {req: {headers: Record<string, unknown>}}) =>
        isSameSecret(
          String(req.headers['fescuewheel-auth'] ?? ''),
          this.signLink(),
        ),
    });
    server.on('connection', link => this.useLink(link));
    const dials = this.options.seeds.map(seed => this.dial(seed, signal));
    await runEvery(this.clock, this.options.spreadMs, signal, () =>
      this.spread(),
    );
    for (const link of this.links) link.terminate();
    server.close();
    await Promise.all(dials);
  }

  /** Sends all known records over all links. */
  spread(): void {
    const bytes = pack(this.roster.list());
    for (const link of this.links) link.send(bytes);
  }

  private signLink(): string {
    return signParts(this.options.clusterKey, ['peer-link']);
  }

  private async dial(seed: string, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const link = new WebSocket(`ws://${seed}`, {
        headers: {'fescuewheel-auth': this.signLink()},
        localAddress: this.options.localAddress,
        maxPayload: maxFrameBytes,
        perMessageDeflate: false,
      });
      link.on('open', () => this.useLink(link));
      await new Promise<void>(resolve => {
        link.on('error', () => resolve());
        link.on('close', () => resolve());
      });
      await this.clock.sleep(redialMs, signal);
    }
  }

  private useLink(link: WebSocket): void {
    this.links.add(link);
    link.on('close', () => this.links.delete(link));
    link.on('error', () => link.terminate());
    link.on('message', data => {
      const decoded = decodeWith(
        t.array(nodeRecordCodec),
        unpack(data as Buffer),
      );
      if (E.isLeft(decoded)) {
        this.logger.warn({error: decoded.left.message}, 'peer frame refused');
        link.terminate();
        return;
      }
      for (const record of decoded.right) {
        this.roster.merge(record as NodeRecord);
      }
    });
  }
}
