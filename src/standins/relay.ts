import {createConnection, createServer, Socket} from 'node:net';
import Fastify from 'fastify';

/** Where the relay listens and where it leads. */
export interface RelayOptions {
  readonly address: string;
  readonly port: number;
  /** host:port */
  readonly target: string;
  readonly controlPort: number;
}

/** Ports the relay got. */
export interface RelayPorts {
  readonly listening: number;
  readonly control: number;
  /** Ends the relay and all its connections. */
  close(): Promise<void>;
}

/**
 * What is dropped, by the source address of the connection (`*` for all): `request` loses bytes towards the
 * target, `reply` loses bytes back to the source. Cut bytes vanish silently, as in a real partition.
 */
export interface Cut {
  readonly source: string;
  readonly request: boolean;
  readonly reply: boolean;
}

/** Opens a TCP relay whose directions can be cut by source through `POST /cuts`. */
export async function openRelay(options: RelayOptions): Promise<RelayPorts> {
  let cuts: readonly Cut[] = [];
  const [host, port] = options.target.split(':');

  function isCut(source: string, direction: 'request' | 'reply'): boolean {
    return cuts.some(
      cut => (cut.source === '*' || cut.source === source) && cut[direction],
    );
  }

  const sockets = new Set<Socket>();

  function handleConnection(incoming: Socket): void {
    const source = incoming.remoteAddress ?? '';
    const outgoing = createConnection({host, port: Number(port)});
    for (const socket of [incoming, outgoing]) {
      sockets.add(socket);
      socket.once('close', () => sockets.delete(socket));
    }
    incoming.on('data', bytes => {
      if (!isCut(source, 'request')) outgoing.write(bytes);
    });
    outgoing.on('data', bytes => {
      if (!isCut(source, 'reply')) incoming.write(bytes);
    });
    // A close crosses a cut link no more than data does; the far side notices by silence only.
    incoming.on('close', () => {
      if (!isCut(source, 'request')) outgoing.destroy();
    });
    outgoing.on('close', () => {
      if (!isCut(source, 'reply')) incoming.destroy();
    });
    incoming.on('error', () => incoming.destroy());
    outgoing.on('error', () => outgoing.destroy());
  }

  const server = createServer({noDelay: true}, handleConnection);
  await new Promise<void>(resolve =>
    server.listen(options.port, options.address, resolve),
  );
  const control = Fastify();
  control.post<{Body: readonly Cut[]}>('/cuts', async request => {
    cuts = request.body;
    return cuts;
  });
  await control.listen({host: options.address, port: options.controlPort});
  return {
    listening: (server.address() as {port: number}).port,
    control: (control.server.address() as {port: number}).port,
    async close() {
      for (const socket of sockets) socket.destroy();
      await control.close();
      await new Promise<void>(resolve => server.close(() => resolve()));
    },
  };
}
