import {Agent} from 'undici';
import {Millis} from '../base/index.js';

const probeTimeoutMs: Millis = 1000;

/**
 * Asks a backend server for `/health`. Only the connection counts: health endpoints lag or mislead, so the
 * answer itself is not read.
 */
export async function checkReachable(
  agent: Agent,
  address: string,
): Promise<boolean> {
  try {
    const response = await agent.request({
      origin: `http://${address}`,
      path: '/health',
      method: 'GET',
      headersTimeout: probeTimeoutMs,
      bodyTimeout: probeTimeoutMs,
    });
    await response.body.dump();
    return true;
  } catch (error) {
    return !isConnectError(error);
  }
}

/** Tells whether the connection was never made, so that no byte of the request left. */
export function isConnectError(error: unknown): boolean {
  const {code, syscall} = error as NodeJS.ErrnoException;
  return syscall === 'connect' || code === 'UND_ERR_CONNECT_TIMEOUT';
}
