import {randomInt} from 'node:crypto';
import {createServer} from 'node:net';

// Below the range from which Linux takes the local ports of outgoing connections (32768 on): a port found there could
// be taken by another fleet's connection before the node listens on it.
const lowestPort = 10_000;
const highestPort = 32_000;

async function openPort(
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

/** Finds free ports of the loopback interface. */
export async function findFreePorts(
  address: string,
  count: number,
): Promise<readonly number[]> {
  const servers = await Promise.all(
    Array.from({length: count}, () => openPort(address)),
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
