// Guards against messages of another writer that end the process or take the place of what other nodes say.

import {Packr} from 'msgpackr';
import test from 'ava';
import {
  asId,
  BackendServerId,
  DataCentreId,
  NodeId,
  RequestId,
  RouteId,
  ServiceId,
} from '../../src/base/index.js';
import {
  decodeMessage,
  encodeMessage,
  MeshMessage,
} from '../../src/mesh/index.js';

const server = asId<BackendServerId>('s1');
const service = asId<ServiceId>('bench');
const news = {
  free: 1,
  waiting: 0,
  verdict: 'sound',
  limit: {perSecond: 0.5, ageMs: 3, allowedPerSecond: 1.5},
} as const;
const process = {server, startedAtMs: 1000};

const messages: Readonly<Record<MeshMessage['kind'], MeshMessage>> = {
  request: {
    kind: 'request',
    id: 1,
    requestId: asId<RequestId>('r1'),
    service,
    route: asId<RouteId>('route'),
    priority: 0,
    isIdempotent: true,
    isRepeat: false,
    expectedMs: 10.5,
    targetInMs: -3.2,
    deadlineInMs: 100,
    share: 0.25,
  },
  withdraw: {kind: 'withdraw', id: 1},
  send: {
    kind: 'send',
    id: 1,
    method: 'POST',
    target: '/x',
    headers: ['a', ''],
    body: Buffer.from('x'),
    caller: undefined,
    deadlineInMs: 100,
  },
  body: {kind: 'body', id: 1, bytes: Buffer.from('x')},
  cancel: {kind: 'cancel', id: 1},
  credit: {kind: 'credit', id: 1, seq: 2, bytes: 100_000},
  granted: {kind: 'granted', id: 1, server, news},
  queued: {kind: 'queued', id: 1, waitMs: 5, news: {free: 0, waiting: 2}},
  refused: {kind: 'refused', id: 1, reason: 'hopeless'},
  head: {kind: 'head', id: 1, seq: 0, status: 200, headers: []},
  chunk: {kind: 'chunk', id: 1, seq: 1, bytes: Buffer.from('x')},
  end: {kind: 'end', id: 1, seq: 2, ranMs: 12, news},
  failed: {
    kind: 'failed',
    id: 1,
    seq: 0,
    reason: 'broken',
    mayHaveRun: true,
    detail: '',
    news,
  },
  hello: {
    kind: 'hello',
    node: asId<NodeId>('n1'),
    incarnation: 1,
    address: '127.0.0.1:1000',
    dataCentre: asId<DataCentreId>('z'),
    isJoined: true,
    routingVersion: -1,
    guard: {kind: 'closed', reason: 'leaving', departure: process},
  },
  holding: {kind: 'holding', ids: [1, 2]},
  guard: {
    kind: 'guard',
    guard: {
      kind: 'open',
      server,
      service,
      slots: 2,
      verdict: 'sound',
      limit: {...process, perSecond: 2},
    },
  },
  idle: {kind: 'idle', service, wanted: 'any'},
  heard: {
    kind: 'heard',
    notice: {departure: process, departures: [process]},
  },
  ping: {kind: 'ping'},
  pong: {kind: 'pong'},
  version: {kind: 'version', version: 3},
  'want-routing': {kind: 'want-routing', above: -1},
  routing: {kind: 'routing', document: Buffer.from('{}')},
  nodes: {kind: 'nodes', nodes: [[asId<NodeId>('n1'), '127.0.0.1:1000']]},
};

for (const [kind, message] of Object.entries(messages)) {
  test(`a message of kind ${kind} is understood`, t => {
    t.is(decodeMessage(encodeMessage(message))?.kind, message.kind);
  });
}

function makeNested(depth: number): unknown {
  let value: unknown = 1;
  for (let level = 0; level < depth; level += 1) value = [value];
  return value;
}

for (const [name, message] of Object.entries({
  'a port out of range': {...messages.hello, address: '127.0.0.1:99999'},
  'no address': {...messages.nodes, nodes: [['n1', 'nowhere']]},
  'a number too large': {...messages.version, version: 1e300},
  'a start time too large': {
    ...messages.heard,
    notice: {departure: {server: 's1', startedAtMs: 1e300}},
  },
  'a number that is none': {...messages.queued, waitMs: NaN},
  'slots as text': {
    ...messages.guard,
    guard: {...(messages.guard as {guard: object}).guard, slots: '2'},
  },
  'a guard nested too deeply': {...messages.guard, guard: makeNested(500)},
  'a missing id': {kind: 'cancel'},
  'a half header': {...messages.head, headers: ['a']},
  'an unknown kind': {kind: 'odd'},
  'no fields': null,
})) {
  test(`a message with ${name} is rejected`, t => {
    const bytes = new Packr({useRecords: false}).pack(message);
    t.is(decodeMessage(bytes), undefined);
  });
}
