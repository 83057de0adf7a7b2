import {createConnection} from 'node:net';
import {Millis} from '../base/index.js';

const probeTimeoutMs: Millis = 1200;
const probeRequest =
  'GET / HTTP/1.1\r\nhost: fescuewheel\r\nconnection: close\r\n\r\n';

/**
 * Tells whether a data port answers at all. A connection alone does not tell: the kernel completes it for a paused
 * process, and a one-way cut behind a relay lets it through.
 */
export function checkDataPort(
  address: string,
  localAddress: string,
): Promise<boolean> {
  const separator = address.lastIndexOf(':');
  return new Promise(resolve => {
    const socket = createConnection({
      host: address.slice(0, separator),
      port: Number(address.slice(separator + 1)),
      localAddress,
      timeout: probeTimeoutMs,
    });
    const end = (reached: boolean) => {
      socket.destroy();
      resolve(reached);
    };
    socket.once('connect', () => socket.write(probeRequest));
    socket.once('data', () => end(true));
    socket.once('timeout', () => end(false));
    socket.once('error', () => end(false));
    socket.once('close', () => end(false));
  });
}
