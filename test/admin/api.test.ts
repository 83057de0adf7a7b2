import test from 'ava';
import {Registry} from 'prom-client';
import {buildAdminServer} from '../../src/admin/index.js';
import {
  asId,
  NodeId,
  openSilentLogger,
  systemClock,
} from '../../src/base/index.js';
import {
  Change,
  PlanSubmitter,
  registerConfigMetrics,
  Service,
} from '../../src/config/index.js';
import {applyExclusionRule} from '../../src/health/index.js';
import {NodeRecord, Roster} from '../../src/membership/index.js';
import {
  addDesk,
  addDeskPool,
  clusterKey,
  FakeLog,
  makeFollower,
  makeRetirement,
  setWeight,
} from '../config/fakes.js';

const token = 'test-operator-token';

function makeRecord(servers: readonly string[]): NodeRecord {
  return {
    node: asId<NodeId>('n1'),
    version: 1,
    configVersion: 0,
    incarnation: 1,
    state: 'serving',
    dataCentre: 'tamworth',
    servers: servers.map(server => ({
      server,
      service: 'desk',
      pool: 'desk-a',
      incarnation: 1,
      slots: 3,
      phase: 'ready',
      health: {kind: 'healthy'},
      typicalMs: 1,
    })),
  } as unknown as NodeRecord;
}

async function openApi(servers: readonly string[] = ['d1', 'd2', 'd3']) {
  const log = new FakeLog();
  const stop = new AbortController();
  const follower = makeFollower(log, {clock: systemClock});
  await follower.load(stop.signal);
  void follower.run(stop.signal);
  const roster = new Roster();
  roster.merge(makeRecord(servers));
  const registry = new Registry();
  registerConfigMetrics(registry, follower);
  const app = buildAdminServer({
    token,
    follower,
    planSubmitter: new PlanSubmitter(
      log,
      follower,
      clusterKey,
      'config',
      systemClock,
    ),
    roster,
    isServing: () => true,
    evaluateServers: (service: Service) =>
      applyExclusionRule(service, roster.listServers(service.id), {
        isRetired: server =>
          follower.getConfiguration().retired[server] !== undefined,
        isUnreachable: () => false,
        isSuspected: () => false,
      }),
    registry,
    logger: openSilentLogger(),
  });
  const call = async (method: 'GET' | 'POST', url: string, body?: object) => {
    const answer = await app.inject({
      method,
      url,
      payload: body,
      headers: {authorization: `Bearer ${token}`},
    });
    const isJson = String(answer.headers['content-type']).includes('json');
    return {
      status: answer.statusCode,
      body: isJson ? answer.json() : answer.body,
    };
  };
  const plan = (...changes: (Change | object)[]) =>
    call('POST', '/v1/plans', {changes});
  const confirm = async (...changes: Change[]) => {
    const planned = await plan(...changes);
    return call('POST', `/v1/plans/${planned.body.plan}/confirm`);
  };
  return {app, call, plan, confirm, log, stop: () => stop.abort()};
}

// Guards against unauthenticated calls, including /metrics and paths that do not exist.
test('every call requires the operator token', async t => {
  const {app, stop} = await openApi();
  for (const url of ['/v1/status', '/v1/config', '/metrics', '/nothing']) {
    t.is((await app.inject({url})).statusCode, 401);
    const headers = {authorization: `Bearer ${token}x`};
    t.is((await app.inject({url, headers})).statusCode, 401);
  }
  stop();
});

// Guards against accepting invalid input in part, such as silently ignoring a misspelt option.
test('invalid input is answered by 400 with the field', async t => {
  const {call, plan, stop} = await openApi();
  const wrong: [object, string][] = [
    [{kind: 'add-servce', service: 'x'}, 'changes.0.kind'],
    [{kind: 'add-service', service: 'x'}, 'changes.0.floor'],
    [{...addDesk, florr: 1}, 'changes.0.florr'],
    [
      {kind: 'set-rule', service: 'desk', rule: {slow: 1}},
      'changes.0.rule.slow',
    ],
    [{...addDesk, floor: -1}, 'floor'],
  ];
  for (const [change, field] of wrong) {
    const answer = await plan(change);
    t.is(answer.status, 400);
    t.is(answer.body.error.field, field);
  }
  t.is((await call('POST', '/v1/plans', {})).body.error.field, 'changes');
  t.is((await call('POST', '/v1/plans', {changes: []})).status, 400);
  t.is((await call('POST', '/v1/plans/plan-none/confirm')).status, 404);
  t.is((await call('GET', '/v1/nothing')).status, 404);
  stop();
});

// Guards against applying a plan before its confirmation, and against a plan without a description of its effects.
test('a plan describes its effects and when they take place, and is applied once confirmed', async t => {
  const {call, plan, confirm, stop} = await openApi();
  const first = await plan(addDesk, addDeskPool);
  t.regex(first.body.steps[1].sentence, /expects 3 .* 3 have announced/);
  t.like((await confirm(addDesk, addDeskPool)).body, {kind: 'in-force'});
  const planned = await plan(makeRetirement('d1'));
  t.is(planned.status, 200);
  t.deepEqual(planned.body.objects, ['capacity:desk', 'server:d1']);
  t.regex(
    planned.body.steps[0].sentence,
    /d1 receives no new work within 2 s; its requests in flight end; 2 ready .* floor 2/,
  );
  t.like(planned.body.steps[0].data, {readyRemaining: 2, floor: 2});
  t.deepEqual((await call('GET', '/v1/config')).body.retired, {});
  const path = `/v1/plans/${planned.body.plan}/confirm`;
  const body = {confirmationId: 'confirm-0001'};
  const done = await call('POST', path, body);
  t.is(done.status, 200);
  t.deepEqual((await call('POST', path, body)).body, done.body);
  const status = (await call('GET', '/v1/status')).body;
  t.deepEqual(
    status.services[0].servers.map((item: {verdict: object}) => item.verdict),
    [
      {kind: 'excluded', reason: 'retired'},
      {kind: 'usable', weight: 1},
      {kind: 'usable', weight: 1},
    ],
  );
  const grow = await plan({kind: 'add-capacity', pool: 'desk-a', count: 2});
  t.regex(
    grow.body.steps[0].sentence,
    /expects 5 backend servers; 3 have announced themselves, 2 are ready/,
  );
  stop();
});

// Guards against checking a retirement only against the expected number of servers, not against those that are ready.
test('a retirement that would break the floor is refused', async t => {
  const {plan, confirm, stop} = await openApi(['d1', 'd2']);
  await confirm(addDesk, addDeskPool);
  const refused = await plan(makeRetirement('d1'));
  t.is(refused.status, 409);
  t.regex(
    refused.body.error.message,
    /leave 1 ready .* floor of 2; add capacity/,
  );
  stop();
});

// Guards against not reporting to an operator that another plan won, or that the log is down.
test('conflicts are answered by 409 and a log that is down by 503', async t => {
  const {call, plan, confirm, log, stop} = await openApi();
  await confirm(addDesk, addDeskPool, setWeight('holbrook', 1));
  const [one, two] = [
    await plan(setWeight('holbrook', 2)),
    await plan(setWeight('holbrook', 3)),
  ];
  const confirmPlan = (planned: {body: {plan: string}}) =>
    call('POST', `/v1/plans/${planned.body.plan}/confirm`);
  t.is((await confirmPlan(one)).status, 200);
  const lost = await confirmPlan(two);
  t.is(lost.status, 409);
  t.regex(lost.body.error.message, /partner:holbrook was changed.*plan anew/);
  log.down = 'refusing';
  const down = await plan(setWeight('holbrook', 4));
  t.is(down.status, 503);
  t.false(down.body.error.mayTakeEffect);
  t.is((await call('GET', '/v1/status')).status, 200);
  stop();
});

// Guards against exposing token hashes, and against series that grow with the configuration.
test('token hashes are not shown and metrics stay bounded', async t => {
  const {call, confirm, stop} = await openApi();
  const countSeries = async () =>
    String((await call('GET', '/metrics')).body)
      .split('\n')
      .filter(line => line !== '' && !line.startsWith('#')).length;
  const before = await countSeries();
  const accounts = Array.from({length: 150}, (_, i) => ({
    kind: 'add-account' as const,
    account: `a${String(i).padStart(3, '0')}`,
    partner: 'holbrook',
    tokenHash: i.toString(16).padStart(64, 'e'),
  }));
  await confirm(addDesk, addDeskPool, setWeight('holbrook', 1), ...accounts);
  t.is(await countSeries(), before);
  const page = (await call('GET', '/v1/accounts?limit=100')).body;
  t.is(page.accounts.length, 100);
  const rest = await call('GET', `/v1/accounts?after=${page.next}`);
  t.is(rest.body.accounts.length, 50);
  t.is(rest.body.next, null);
  const shown = [page, (await call('GET', '/v1/config')).body];
  t.notRegex(JSON.stringify(shown), /eeee/);
  t.is((await call('GET', '/v1/accounts?limit=0')).body.error.field, 'limit');
  stop();
});
