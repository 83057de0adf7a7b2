import {randomInt} from 'node:crypto';
import {createServer} from 'node:net';

// The range lies below the ephemeral ports of Linux (32768 and up): a free port among those could be taken by an
// outgoing connection of another fleet before the node listens on it.
const lowestPort = 10_000;
const highestPort = 32_000;

async function openRandomPort(
  address: string,
): Promise<ReturnType<typeof createServer>> {
  for (;;) {
    const server = createServer();
    const port = randomInt(lowestPort, highestPort);
    const opened = await new Promise<boolean>(resolve => {
      server.once('error', () => resolve(false));
      server.listen(port, address, () => resolve(true));
    });
    if (opened) return server;
  }
}

/** Finds free ports of a loopback address. */
export async function findFreePorts(
  address: string,
  count: number,
): Promise<readonly number[]> {
  const servers = await Promise.all(
    Array.from({length: count}, () => openRandomPort(address)),
  );
  const ports = servers.map(
    server => (server.address() as {port: number}).port,
  );
  await Promise.all(
    servers.map(
      server => new Promise<void>(resolve => server.close(() => resolve())),
    ),
  );
  return ports;
}
