import {isIpAddress, isWholeNumber} from '../base/index.js';
import {MeshMessage} from './messages.js';

const maxNameLength = 1000;

type Check = (value: unknown) => boolean;
type Fields = Readonly<Record<string, Check>>;

const isBoolean: Check = value => typeof value === 'boolean';
const isName: Check = value =>
  typeof value === 'string' && value !== '' && value.length <= maxNameLength;
const isNumber: Check = value =>
  typeof value === 'number' && Number.isFinite(value);
const isWhole: Check = value => Number.isSafeInteger(value);
const isCount: Check = value => isWholeNumber(value);
const isBytes: Check = value => value instanceof Uint8Array;
const isAddress: Check = value =>
  typeof value === 'string' && isIpAddress(value);
const isHeaders: Check = value =>
  Array.isArray(value) &&
  value.length % 2 === 0 &&
  value.every(text => typeof text === 'string');

/** Whether a value is absent or accepted. */
function isOptional(check: Check): Check {
  return value => value === undefined || value === null || check(value);
}

function isOneOf(...words: readonly string[]): Check {
  return value => words.includes(value as string);
}

function isListOf(check: Check): Check {
  return value => Array.isArray(value) && value.every(check);
}

function hasFields(fields: Fields): Check {
  const entries = Object.entries(fields);
  return value =>
    typeof value === 'object' &&
    value !== null &&
    entries.every(([name, check]) =>
      check((value as Record<string, unknown>)[name]),
    );
}

const isVerdict = isOneOf('sound', 'doubtful', 'suspended');
const processFields = {server: isName, startedAtMs: isCount};
const isProcess = hasFields(processFields);
const isLimit = hasFields({...processFields, perSecond: isNumber});
const isSlotCounts = hasFields({
  free: isCount,
  waiting: isCount,
  verdict: isOptional(isVerdict),
  limit: isOptional(
    hasFields({
      perSecond: isNumber,
      ageMs: isNumber,
      allowedPerSecond: isNumber,
    }),
  ),
});
const isOpenGuard = hasFields({
  server: isName,
  service: isName,
  slots: value => isWholeNumber(value, 1),
  verdict: isVerdict,
  limit: isOptional(isLimit),
});
const isClosedGuard = hasFields({
  reason: isOneOf('no-server', 'leaving'),
  departure: isOptional(isProcess),
});
const isGuard: Check = value => {
  switch ((value as {kind?: unknown} | null | undefined)?.kind) {
    case 'open':
      return isOpenGuard(value);
    case 'closed':
      return isClosedGuard(value);
    default:
      return false;
  }
};
const isNodeAddress: Check = value =>
  Array.isArray(value) && isName(value[0]) && isAddress(value[1]);

/** Fields of each kind of message; those that are not listed are ignored. */
const fieldsByKind: Readonly<Record<MeshMessage['kind'], Fields>> = {
  request: {
    id: isCount,
    requestId: isName,
    service: isName,
    route: isName,
    priority: isNumber,
    isIdempotent: isBoolean,
    isRepeat: isBoolean,
    expectedMs: isNumber,
    targetInMs: isNumber,
    deadlineInMs: isNumber,
    share: isNumber,
    isForIdle: isOptional(isBoolean),
    bodyBytes: isOptional(isCount),
  },
  withdraw: {id: isCount},
  send: {
    id: isCount,
    method: isName,
    target: value => typeof value === 'string',
    headers: isHeaders,
    body: isOptional(isBytes),
    bodyBytes: isOptional(isCount),
    caller: isOptional(isName),
    deadlineInMs: isNumber,
  },
  body: {id: isCount, bytes: isBytes},
  cancel: {id: isCount},
  credit: {id: isCount, seq: isCount, bytes: isCount},
  granted: {id: isCount, server: isName, news: isSlotCounts},
  queued: {id: isCount, waitMs: isNumber, news: isSlotCounts},
  refused: {id: isCount, reason: isName},
  head: {id: isCount, seq: isCount, status: isCount, headers: isHeaders},
  chunk: {id: isCount, seq: isCount, bytes: isBytes},
  end: {id: isCount, seq: isCount, ranMs: isNumber, news: isSlotCounts},
  failed: {
    id: isCount,
    seq: isCount,
    reason: isName,
    mayHaveRun: isBoolean,
    detail: value => typeof value === 'string',
    news: isSlotCounts,
  },
  hello: {
    node: isName,
    incarnation: isNumber,
    address: isAddress,
    dataCentre: isName,
    isJoined: isBoolean,
    routingVersion: isWhole,
    guard: isGuard,
    acceptsIdleReports: isOptional(isBoolean),
    hasFlowControl: isOptional(isBoolean),
  },
  holding: {ids: isListOf(isCount)},
  guard: {guard: isGuard},
  idle: {service: isName, wanted: isOneOf('any', 'idempotent')},
  heard: {
    notice: hasFields({
      departure: isOptional(isProcess),
      departures: isOptional(isListOf(isProcess)),
      limit: isOptional(isLimit),
    }),
  },
  ping: {},
  pong: {},
  version: {version: isWhole},
  'want-routing': {above: isWhole},
  routing: {document: isBytes},
  nodes: {nodes: isListOf(isNodeAddress)},
};

const checks = new Map<string, Check>(
  Object.entries(fieldsByKind).map(([kind, fields]) => [
    kind,
    hasFields(fields),
  ]),
);

/** Whether a decoded value is a message of a known kind with fields that can be relied on. */
export function isMeshMessage(value: unknown): value is MeshMessage {
  const kind = (value as {kind?: unknown} | null | undefined)?.kind;
  if (typeof kind !== 'string') return false;
  return checks.get(kind)?.(value) === true;
}
