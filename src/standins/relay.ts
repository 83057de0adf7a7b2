import {createConnection, createServer, Socket} from 'node:net';
import Fastify, {FastifyInstance} from 'fastify';
import {Millis, systemClock} from '../base/index.js';

/** Listen address and target of a relay. */
export interface RelayOptions {
  readonly address: string;
  readonly port: number;
  /** host:port */
  readonly target: string;
}

/**
 * Directions to drop, by the source address of the connection (`*` for all): `request` drops bytes to the target,
 * `reply` drops bytes back to the source. Bytes are dropped without a reset, as in a real partition.
 */
export interface Cut {
  readonly source: string;
  readonly request: boolean;
  readonly reply: boolean;
}

/** A TCP relay whose directions can be cut by source. */
export interface Relay {
  /** host:port it listens on. */
  readonly address: string;
  /** Replaces all cuts. */
  setCuts(cuts: readonly Cut[]): void;
  /** Delays all bytes from now on, in both directions. */
  setDelay(delayMs: Millis): void;
  /** Resets all connections. */
  reset(): void;
  close(): void;
}

/** Opens a relay to a target. */
export async function openRelay(options: RelayOptions): Promise<Relay> {
  let cuts: readonly Cut[] = [];
  let delayMs: Millis = 0;
  const sockets = new Set<Socket>();
  const [host, port] = options.target.split(':');

  function isCut(source: string, direction: 'request' | 'reply'): boolean {
    return cuts.some(
      cut => (cut.source === '*' || cut.source === source) && cut[direction],
    );
  }

  function handleConnection(incoming: Socket): void {
    const source = incoming.remoteAddress ?? '';
    const outgoing = createConnection({
      host,
      port: Number(port),
      localAddress: source,
    });
    outgoing.setNoDelay(true);
    // TCP would never deliver data after the gap that dropped bytes leave, so such a connection carries nothing more in
    // that direction, even after the cut ends.
    const hasGap = {request: false, reply: false};
    // When the delay is shortened, bytes must not overtake those sent before them.
    const dueAt = {request: 0, reply: 0};
    const forward = (
      direction: 'request' | 'reply',
      to: Socket,
      bytes: Buffer,
    ): void => {
      if (isCut(source, direction)) hasGap[direction] = true;
      if (hasGap[direction]) return;
      const now = systemClock.getTime();
      if (delayMs === 0 && dueAt[direction] <= now) {
        to.write(bytes);
        return;
      }
      dueAt[direction] = Math.max(now + delayMs, dueAt[direction]);
      systemClock.startTimer(dueAt[direction] - now, () => {
        if (!to.destroyed) to.write(bytes);
      });
    };
    incoming.on('data', bytes => forward('request', outgoing, bytes));
    outgoing.on('data', bytes => forward('reply', incoming, bytes));
    // Like data, a close does not cross a cut link; the other side detects it only by a timeout.
    incoming.on('close', () => {
      if (!isCut(source, 'request')) outgoing.destroy();
    });
    outgoing.on('close', () => {
      if (!isCut(source, 'reply')) incoming.destroy();
    });
    for (const socket of [incoming, outgoing]) {
      sockets.add(socket);
      socket.on('error', () => socket.destroy());
      socket.on('close', () => sockets.delete(socket));
    }
  }

  const server = createServer({noDelay: true}, handleConnection);
  await new Promise<void>(resolve =>
    server.listen(options.port, options.address, resolve),
  );
  const listeningPort = (server.address() as {port: number}).port;
  return {
    address: `${options.address}:${listeningPort}`,
    setCuts: next => {
      cuts = next;
    },
    setDelay: next => {
      delayMs = next;
    },
    reset: () => {
      for (const socket of sockets) socket.resetAndDestroy();
    },
    close: () => {
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
}

/** Builds the HTTP control API of a relay that runs as its own process: `POST /cuts` with a list of cuts. */
export function buildRelayControl(relay: Relay): FastifyInstance {
  const control = Fastify();
  control.post<{Body: readonly Cut[]}>('/cuts', async request => {
    relay.setCuts(request.body);
    return request.body;
  });
  return control;
}
