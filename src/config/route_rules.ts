import {
  asId,
  ConflictError,
  InvalidInputError,
  RouteId,
  ServiceId,
} from '../base/index.js';
import {ChangeOf} from './change_codec.js';
import {ConfigDraft} from './config_draft.js';
import {checkId} from './validation.js';

const hostLabel = '[a-z0-9_]([a-z0-9_-]{0,61}[a-z0-9_])?';
const hostPattern = new RegExp(`^${hostLabel}(\\.${hostLabel})*$`);
// Only characters that never need percent-encoding in a path, so that each prefix has a single spelling.
const prefixPattern = /^(\/[A-Za-z0-9._~!$&'()*+,=:@-]+)+$/;
const maxHostLength = 253;
const maxPrefixLength = 1024;

/** Normalizes a host: lower case, without a trailing dot. */
export function parseHost(host: string): string {
  const normalized = host.toLowerCase().replace(/\.$/, '');
  const isIpv6 = /^\[[0-9a-f:.]+\]$/.test(normalized);
  if (normalized === '*' || isIpv6) return normalized;
  if (normalized.length <= maxHostLength && hostPattern.test(normalized))
    return normalized;
  throw new InvalidInputError(
    `host: ${JSON.stringify(host.slice(0, 80))} is no host name; give a name or IP number without port, or * for any host`,
  );
}

/** Normalizes a path prefix: without a trailing slash. */
export function parsePrefix(prefix: string): string {
  if (prefix === '/') return prefix;
  const normalized = prefix.replace(/\/$/, '');
  const hasDots = /\/\.{1,2}(\/|$)/.test(normalized);
  if (
    normalized.length <= maxPrefixLength &&
    prefixPattern.test(normalized) &&
    !hasDots
  ) {
    return normalized;
  }
  throw new InvalidInputError(
    `pathPrefix: ${JSON.stringify(prefix.slice(0, 80))} is no path prefix; begin with / and use no %, ?, #, ;, //, /./ or /../`,
  );
}

/** Adds a route; refused if another route has the same host and path prefix. */
export function addRoute(
  draft: ConfigDraft,
  change: ChangeOf<'add-route'>,
): void {
  const id = asId<RouteId>(change.route);
  checkId('route', id);
  const service = draft.getService(asId<ServiceId>(change.service));
  const host = parseHost(change.host);
  const pathPrefix = parsePrefix(change.pathPrefix);
  if (draft.get('routes', id)) {
    throw new ConflictError(`route ${id} exists; remove it first`);
  }
  const other = draft.findRoute(host, pathPrefix);
  if (other) {
    throw new ConflictError(
      `route ${other} has the host ${host} and the path prefix ${pathPrefix} too; remove it first or choose another prefix`,
    );
  }
  draft.set('routes', id, {
    id,
    service: service.id,
    host,
    pathPrefix,
    idempotent: change.idempotent ?? 'by-method',
    requireKey: change.requireKey ?? false,
  });
}

/** Removes a route. */
export function removeRoute(
  draft: ConfigDraft,
  change: ChangeOf<'remove-route'>,
): void {
  const id = asId<RouteId>(change.route);
  if (!draft.get('routes', id)) {
    throw new ConflictError(`route ${id} does not exist; correct the name`);
  }
  draft.remove('routes', id);
}
