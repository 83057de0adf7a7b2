import test from 'ava';
import * as E from 'fp-ts/lib/Either.js';
import {
  decodePage,
  encodeKeyedRecord,
  parseHeartbeat,
  parseOperatorConfig,
  parseServerNotice,
  parseSettings,
} from '../../platform/index.js';

const heartbeat = {
  service: 'bench',
  address: '10.0.0.1:80',
  zone: 'tamworth',
  version: 'v1',
  slots: 3,
  state: 'ready',
  warmup_left_ms: 0,
  sequence: 4,
  born: 1700000000000,
};

test('a heartbeat is decoded into a report', t => {
  const report = parseHeartbeat('i-1', heartbeat);
  t.true(E.isRight(report) && report.right.startedAtMs === heartbeat.born);
});

for (const [name, change] of Object.entries({
  'a missing service': {service: undefined},
  'an unknown state': {state: 'zombie'},
  'slots as text': {slots: '3'},
  'no slots': {slots: 0},
  'an address without port': {address: '10.0.0.1'},
  'a negative sequence': {sequence: -1},
  'a start time that is not an integer': {born: 1.5},
})) {
  test(`a heartbeat with ${name} is rejected`, t => {
    t.true(E.isLeft(parseHeartbeat('i-1', {...heartbeat, ...change})));
  });
}

const config = {
  version: 'r12',
  routes: {
    r1: {
      host: 'a.example',
      path_prefix: '/x/',
      route_type: 'unsafe',
      timeout_ms: 3000,
      target_latency_ms: 800,
      priority: 1,
      max_attempts: 2,
      weighted_services: [
        {service: 's1', weight: 90},
        {service: 's2', weight: 0},
      ],
    },
  },
  services: {
    s1: {health_path: '/healthz', max_connections: 10},
    s2: {health_path: '/healthz', max_connections: 10},
  },
  limits: {
    max_header_bytes: 1,
    max_body_bytes: 1,
    header_timeout_ms: 1,
    idle_timeout_ms: 1,
  },
};

function parse(value: unknown) {
  return parseOperatorConfig(Buffer.from(JSON.stringify(value)));
}

test('a configuration is decoded; a service of weight 0 gets no share', t => {
  const routing = parse(config);
  t.true(E.isRight(routing));
  if (E.isLeft(routing)) return;
  t.is(routing.right.version, 12);
  t.is(routing.right.routes[0].shares.length, 1);
  t.false(routing.right.routes[0].isIdempotent);
});

test('a configuration that refers to an unknown service is rejected', t => {
  const services = {s2: config.services.s2};
  t.true(E.isLeft(parse({...config, services})));
});

test('a truncated configuration is rejected', t => {
  const bytes = Buffer.from(JSON.stringify(config)).subarray(0, 100);
  t.true(E.isLeft(parseOperatorConfig(bytes)));
});

for (const [name, changes] of Object.entries({
  'without a time limit': {timeout_ms: 0},
  'with a negative target': {target_latency_ms: -1},
  'without an attempt': {max_attempts: 0},
  'with a fraction of an attempt': {max_attempts: 1.5},
  'with a negative weight': {
    weighted_services: [
      {service: 's1', weight: 5},
      {service: 's2', weight: -1},
    ],
  },
  'of an unknown kind': {route_type: 'odd'},
  'whose prefix does not end with a slash': {path_prefix: '/x'},
})) {
  test(`a configuration with a route ${name} is not taken`, t => {
    const routes = {r1: {...config.routes.r1, ...changes}};
    t.true(E.isLeft(parse({...config, routes})));
  });
}

test('a configuration with two routes at one place is not taken', t => {
  const routes = {r1: config.routes.r1, r2: config.routes.r1};
  t.true(E.isLeft(parse({...config, routes})));
});

for (const [text, limit] of [
  ['2.5', {kind: 'named', perSecond: 2.5}],
  ['0', {kind: 'named', perSecond: 0}],
  ['many', {kind: 'malformed', text: 'many'}],
  ['-1', {kind: 'malformed', text: '-1'}],
  ['1e9', {kind: 'malformed', text: '1e9'}],
  ['', {kind: 'malformed', text: ''}],
] as const) {
  test(`a limit of "${text}" in an answer is ${limit.kind}`, t => {
    const notice = parseServerNotice(['Server-Limit', text]);
    t.deepEqual(notice, {limit, isLeaving: false});
  });
}

test('an answer without a limit lifts it, and one with the mark of leaving says so', t => {
  t.deepEqual(parseServerNotice(['Server-Leaving', '1']), {
    limit: {kind: 'none'},
    isLeaving: true,
  });
});

test('keyed records are unchanged after encoding and decoding', t => {
  const header = Buffer.alloc(16);
  const page = decodePage(
    Buffer.concat([
      header,
      encodeKeyedRecord('config', Buffer.from('one')),
      encodeKeyedRecord('gone', Buffer.alloc(0)),
    ]),
    7,
  );
  t.is(page.end, 9);
  t.deepEqual(
    page.records.map(({key, value}) => [key, value.toString()]),
    [
      ['config', 'one'],
      ['gone', ''],
    ],
  );
});

test('a malformed record is skipped and counted, the next one is decoded', t => {
  const malformed = Buffer.from([0, 0, 0, 2, 200, 1]);
  const page = decodePage(
    Buffer.concat([
      Buffer.alloc(16),
      malformed,
      encodeKeyedRecord('config', Buffer.from('two')),
    ]),
    0,
  );
  t.is(page.malformed, 1);
  t.is(page.records[0].key, 'config');
  t.is(page.end, 2);
});

test('settings that are not TOML or lack a field are rejected, and the field is named', t => {
  t.true(E.isLeft(parseSettings('= =')));
  const missing = parseSettings('[self]\nnode = "a"');
  t.true(E.isLeft(missing) && /self|network/.test(missing.left.message));
});
