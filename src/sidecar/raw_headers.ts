import {RawHeaders} from '../mesh/index.js';
import {platformHeaders} from '../../platform/headers.js';

const hopByHopNames: ReadonlySet<string> = new Set([
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
/** Headers that the node sets on requests to a backend server, replacing those of the caller. */
const overwrittenNames: ReadonlySet<string> = new Set([
  platformHeaders.requestId,
  platformHeaders.remainingMs,
  platformHeaders.expectedServer,
  platformHeaders.callerService,
]);

/** First value of a header; `name` must be in lower case. */
export function findHeader(
  headers: RawHeaders,
  name: string,
): string | undefined {
  for (let index = 0; index + 1 < headers.length; index += 2) {
    if (headers[index].toLowerCase() === name) return headers[index + 1];
  }
  return undefined;
}

/** Returns the end-to-end headers, unchanged. */
export function pickEndToEnd(headers: RawHeaders): string[] {
  const connectionOptions = (findHeader(headers, 'connection') ?? '')
    .toLowerCase()
    .split(',')
    .map(name => name.trim());
  return filterHeaders(
    headers,
    name => !hopByHopNames.has(name) && !connectionOptions.includes(name),
  );
}

/** Returns a caller's headers for the backend server. The HTTP client sets the content length itself. */
export function pickForBackend(headers: RawHeaders): string[] {
  return filterHeaders(
    pickEndToEnd(headers),
    name => !overwrittenNames.has(name) && name !== 'content-length',
  );
}

/** Returns the headers whose lower-case name is accepted by the predicate. */
export function filterHeaders(
  headers: RawHeaders,
  isWanted: (name: string) => boolean,
): string[] {
  const kept: string[] = [];
  for (let index = 0; index + 1 < headers.length; index += 2) {
    if (isWanted(headers[index].toLowerCase())) {
      kept.push(headers[index], headers[index + 1]);
    }
  }
  return kept;
}
