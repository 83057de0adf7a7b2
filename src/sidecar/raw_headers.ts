import {RawHeaders} from '../mesh/index.js';
import {platformHeaders} from '../../platform/headers.js';

const hopByHop: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
]);
/** Set anew on the way to a backend server, whatever the caller sent. */
const ownNames: ReadonlySet<string> = new Set([
  platformHeaders.requestId,
  platformHeaders.remainingMs,
  platformHeaders.expectedServer,
  platformHeaders.callerService,
]);

/** First value of a field; the name is in lower case. */
export function findHeader(
  headers: RawHeaders,
  name: string,
): string | undefined {
  for (let at = 0; at + 1 < headers.length; at += 2) {
    if (headers[at].toLowerCase() === name) return headers[at + 1];
  }
  return undefined;
}

/** Fields that go on to the next hop, as they came. */
export function pickEndToEnd(headers: RawHeaders): string[] {
  const named = (findHeader(headers, 'connection') ?? '')
    .toLowerCase()
    .split(',')
    .map(name => name.trim());
  return filterHeaders(
    headers,
    name => !hopByHop.has(name) && !named.includes(name),
  );
}

/** Fields of a caller that go on to a backend server. The client of the next hop states the length of the body. */
export function pickForBackend(headers: RawHeaders): string[] {
  return filterHeaders(
    pickEndToEnd(headers),
    name => !ownNames.has(name) && name !== 'content-length',
  );
}

/** Fields without those of a name. */
export function filterHeaders(
  headers: RawHeaders,
  isWanted: (name: string) => boolean,
): string[] {
  const kept: string[] = [];
  for (let at = 0; at + 1 < headers.length; at += 2) {
    if (isWanted(headers[at].toLowerCase())) {
      kept.push(headers[at], headers[at + 1]);
    }
  }
  return kept;
}
