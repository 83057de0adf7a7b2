import {Agent} from 'undici';
import {Millis} from '../base/index.js';

const probeTimeoutMs: Millis = 1000;

/**
 * Probes a backend server with a request for `/health`. Only the connection counts; the response is ignored, because
 * health endpoints lag behind or are wrong.
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

/** Whether the connection could not be established, in which case no byte of the request was sent. */
export function isConnectError(error: unknown): boolean {
  const {code, syscall} = error as NodeJS.ErrnoException;
  return syscall === 'connect' || code === 'UND_ERR_CONNECT_TIMEOUT';
}
