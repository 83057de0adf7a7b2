import {createConnection} from 'node:net';
import {Millis} from '../base/index.js';

const probeTimeoutMs: Millis = 1200;
const probeRequest =
  'GET / HTTP/1.1\r\nhost: fescuewheel\r\nconnection: close\r\n\r\n';

/**
 * Returns whether a data port responds to a request. A successful connect is not enough: the kernel accepts connections
 * for a paused process, and a relay accepts them even if traffic behind it is cut in one direction.
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
    const finish = (reached: boolean) => {
      socket.destroy();
      resolve(reached);
    };
    socket.once('connect', () => socket.write(probeRequest));
    socket.once('data', () => finish(true));
    socket.once('timeout', () => finish(false));
    socket.once('error', () => finish(false));
    socket.once('close', () => finish(false));
  });
}
