import {createServer} from 'node:http';
import test from 'ava';
import * as E from 'fp-ts/lib/Either.js';
import {
  ManualClock,
  openSilentLogger,
  systemClock,
} from '../../src/base/index.js';
import {
  ConfigFollower,
  PlanSubmitter,
  PeerStateClient,
  decodeState,
  emptyConfigState,
  encodeState,
  registerStateTransfer,
  SnapshotStore,
} from '../../src/config/index.js';
import {NodeCallClient, NodeCallServer} from '../../src/nodecalls/index.js';
import {
  addDesk,
  clusterKey,
  FakeLog,
  applyRecords,
  makeConfirmation,
  makeFollower,
  makePeers,
  makePlan,
  signer,
  setWeight,
} from './fakes.js';

const initialRecords = [
  makePlan('plan-start', -1, addDesk),
  makeConfirmation('plan-start', 'conf-start'),
];

async function openLog(...records: unknown[]): Promise<FakeLog> {
  const log = new FakeLog();
  if (records.length > 0) {
    await log.append(
      'config',
      records.map(record => signer.encode(record)),
    );
  }
  return log;
}

/** Opens a loaded, running follower and a plan submitter on it. */
async function openSubmitter(log: FakeLog) {
  const stop = new AbortController();
  const follower = makeFollower(log, {clock: systemClock});
  await follower.load(stop.signal);
  void follower.run(stop.signal);
  const planSubmitter = new PlanSubmitter(
    log,
    follower,
    clusterKey,
    'config',
    systemClock,
  );
  return {follower, planSubmitter, stop: () => stop.abort()};
}

// Guards against reporting a lost reply as a failure, such as 503 for a plan or confirmation that is in the log, and
// against making the change twice.
test('plans and confirmations whose replies were lost are found in the log', async t => {
  const log = await openLog(...initialRecords);
  const {planSubmitter, follower, stop} = await openSubmitter(log);
  log.loseReplies = 1;
  const plan = await planSubmitter.createPlan([setWeight('a', 2)], 'plan-lost');
  log.loseReplies = 1;
  const outcome = await planSubmitter.confirmPlan(plan.plan, 'conf-lost');
  t.like(outcome, {kind: 'in-force', plan: 'plan-lost'});
  t.deepEqual(await planSubmitter.confirmPlan(plan.plan, 'conf-lost'), outcome);
  t.is(follower.getConfiguration().version, 3);
  t.is(log.getStream('config').values.length, 4);
  await t.throwsAsync(planSubmitter.confirmPlan('plan-other', 'conf-lost'), {
    message: /was used for plan plan-lost/,
  });
  stop();
});

// Guards against one error text for all cases, from which an operator cannot tell whether a confirmation may still take
// effect.
test('with the log down the error says whether a plan may still take effect', async t => {
  const log = await openLog(...initialRecords);
  const {planSubmitter, stop} = await openSubmitter(log);
  await planSubmitter.createPlan([setWeight('a', 2)], 'plan-kept');
  log.down = 'refusing';
  await t.throwsAsync(planSubmitter.confirmPlan('plan-kept', 'conf-kept'), {
    message: /has no effect.*try again when the log answers/,
  });
  await t.throwsAsync(planSubmitter.confirmPlan('plan-else', 'conf-else'), {
    message: /does not know plan plan-else.*use another node/,
  });
  log.down = 'silent';
  await t.throwsAsync(planSubmitter.confirmPlan('plan-kept', 'conf-kept'), {
    message: /may still take effect.*same id.*meanwhile/,
  });
  log.down = 'no';
  t.like(await planSubmitter.confirmPlan('plan-kept', 'conf-kept'), {
    kind: 'in-force',
  });
  stop();
});

// Guards against invalid values in the stream that stop the replay or that are not reported.
test('bad records are counted and skipped', async t => {
  const log = await openLog(...initialRecords);
  await log.append('config', [null, {format: 1, body: '{', proof: 'forged'}]);
  await log.append('config', [signer.encode({kind: 'launch'})]);
  const follower = makeFollower(log);
  t.is(await follower.loadOnce(), undefined);
  t.is(follower.getState().next, 5);
  t.is(follower.getConfiguration().version, 1);
  t.deepEqual(follower.getState().badRecords, {
    malformed: 1,
    forged: 1,
    unknown: 1,
  });
});

// Guards against nodes of different program versions that compute different configurations from the same log: the older
// program must stop before a record of a newer format, not skip it and apply the next ones.
test('a record of a newer format puts the replay on hold and keeps the configuration in force', async t => {
  const log = await openLog(...initialRecords);
  await log.append('config', [signer.encode({kind: 'launch'}, 2)]);
  await log.append('config', [
    signer.encode(makePlan('plan-late', 1, addDesk)),
  ]);
  const {follower, planSubmitter, stop} = await openSubmitter(log);
  t.like(follower.getHold(), {kind: 'newer-format', offset: 2, format: 2});
  t.is(follower.getState().next, 2);
  t.is(follower.getConfiguration().version, 1);
  await t.throwsAsync(planSubmitter.createPlan([setWeight('a', 1)]), {
    message: /update the program.*use another node/,
  });
  stop();
});

// Guards against replaying across a gap after an outage longer than the retention time of the log. A node that starts
// with an empty configuration at the first retained record would lack all earlier changes.
test('a log that begins after the known records is not applied', async t => {
  const log = await openLog(
    ...initialRecords,
    makePlan('plan-more', 1, setWeight('a', 1)),
  );
  log.removeBefore('config', 2);
  const follower = makeFollower(log);
  t.regex((await follower.loadOnce()) ?? '', /records from 2 on, 0 is needed/);
  t.is(follower.getState(), emptyConfigState);
  t.false(follower.isLoaded());

  const state = applyRecords(emptyConfigState, ...initialRecords);
  const recovered = makeFollower(log, {peers: makePeers([state])});
  t.is(await recovered.loadOnce(), undefined);
  t.is(recovered.getState().next, 3);
  t.is(recovered.getConfiguration().version, 1);
});

// Guards against a node that adopts an older configuration from a snapshot, a peer or a log that was reset.
test('a node never returns to an older version', async t => {
  const log = await openLog(...initialRecords);
  const follower = makeFollower(log);
  await follower.loadOnce();
  t.false(follower.merge(emptyConfigState));
  const older = follower.getState();
  await log.append('config', [
    signer.encode(makePlan('plan-more', 1, addDesk)),
  ]);
  await follower.readOnce(0);
  t.false(follower.merge(older));
  log.getStream('config').values.splice(0);
  await follower.readOnce(0);
  t.like(follower.getHold(), {kind: 'log-behind', next: 3, nextOffset: 0});
  await log.append('config', [
    signer.encode(makePlan('plan-anew', -1, addDesk)),
  ]);
  await follower.readOnce(0);
  t.is(follower.getConfiguration().version, 1);
});

// Guards against a node that opens its port and serves callers before it has a configuration.
test('a node loads from a peer if the log is down, and does not load without either', async t => {
  const log = await openLog(...initialRecords);
  log.down = 'refusing';
  const follower = makeFollower(log);
  t.regex((await follower.loadOnce()) ?? '', /log down/);
  t.false(follower.isLoaded());
  const state = applyRecords(emptyConfigState, ...initialRecords);
  const withPeer = makeFollower(log, {peers: makePeers([state])});
  t.is(await withPeer.loadOnce(), undefined);
  t.is(withPeer.getConfiguration().version, 1);
});

async function openPeer(follower: ConfigFollower, dataCentre: string) {
  const handlers = new NodeCallServer(clusterKey);
  registerStateTransfer(handlers, clusterKey, follower);
  const server = createServer(
    (request, response) => void handlers.handle(request, response),
  );
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as {port: number};
  const dataAddress = `127.0.0.1:${port}`;
  const close = () => server.close();
  return {node: dataAddress, dataCentre, dataAddress, close};
}

// Guards against a node that cannot reach the log and stays behind its peers for hours.
test('peers in two data centres are asked and the highest version is taken', async t => {
  const log = await openLog(...initialRecords);
  const older = makeFollower(log);
  await older.loadOnce();
  await log.append('config', [
    signer.encode(makePlan('plan-more', 1, setWeight('a', 1))),
    signer.encode(makeConfirmation('plan-more', 'conf-more')),
  ]);
  const newer = makeFollower(log);
  await newer.loadOnce();
  const peers = [
    await openPeer(older, 'wien-nord'),
    await openPeer(newer, 'noe-tulln'),
    await openPeer(makeFollower(log), 'wien-sued'),
  ];
  const calls = new NodeCallClient(clusterKey);
  const makePeerClient = (count: number) =>
    new PeerStateClient(
      calls,
      clusterKey,
      () => peers.slice(0, count),
      () => 0.5,
      openSilentLogger(),
    );
  log.down = 'silent';
  const joining = makeFollower(log, {peers: makePeerClient(2)});
  t.is(await joining.loadOnce(), undefined);
  t.is(joining.getConfiguration().version, 3);
  t.deepEqual(joining.getState(), newer.getState());

  const clock = new ManualClock();
  const behind = makeFollower(log, {peers: makePeerClient(1), clock});
  await behind.loadOnce();
  t.is(behind.getConfiguration().version, 1);
  behind.onPeerVersion(peers[1], 3);
  await clock.advance(1000);
  t.like(
    await behind
      .waitFor(state => state.config.version === 3 || undefined, 5000)
      .then(() => behind.getConfiguration()),
    {version: 3},
  );
  // A peer without a configuration does not count as a reply.
  t.deepEqual(await makePeerClient(3).fetch(9), ['not-newer', 'not-newer']);
  await calls.close();
  for (const peer of peers) peer.close();
});

// Guards against reading the snapshot of a writer that stopped half-way, the older one of a slow writer, or one whose
// parts were removed by retention: the highest complete version must be found in each case.
test('the highest complete snapshot is read', async t => {
  const log = new FakeLog();
  const logger = openSilentLogger();
  const openStore = () => new SnapshotStore(log, clusterKey, logger);
  const older = applyRecords(emptyConfigState, ...initialRecords);
  const newer = applyRecords(older, makePlan('plan-more', 1, addDesk));
  await openStore().write(newer);
  await openStore().write(older);
  t.is((await openStore().readNewest())?.next, 3);
  log.failAppendsAfter = 1;
  const newest = applyRecords(
    newer,
    makeConfirmation('plan-more', 'conf-more'),
  );
  await t.throwsAsync(openStore().write(newest));
  log.failAppendsAfter = Infinity;
  t.is((await openStore().readNewest())?.next, 3);
  log.getStream('config-snapshot-parts').values[0] = {
    format: 1,
    body: 'x',
    proof: 'y',
  };
  t.is((await openStore().readNewest())?.next, 2);
  const store = openStore();
  t.is((await store.readNewest())?.next, 2);
  t.is(await store.readNewest(2), undefined);
  log.getStream('config-snapshots').values.splice(1);
  log.getStream('config-snapshot-parts').values.splice(1);
  t.is(await store.readNewest(), undefined);
});

// Guards against a snapshot in several parts from which a different state is read.
test('a snapshot of many parts is read back completely', async t => {
  const log = new FakeLog();
  const accounts = Array.from({length: 6000}, (_, i) => ({
    kind: 'add-account' as const,
    account: `account-${i}`,
    partner: 'a',
    tokenHash: Array.from({length: 8}, (_, j) =>
      Math.imul(i * 8 + j + 1, 0x9e3779b1)
        .toString(16)
        .replace('-', '')
        .padStart(8, '0'),
    ).join(''),
  }));
  const state = applyRecords(
    emptyConfigState,
    makePlan('plan-wide', -1, setWeight('a', 1), ...accounts),
    makeConfirmation('plan-wide', 'conf-wide'),
  );
  t.is(Object.keys(state.config.accounts).length, 6000);
  const store = new SnapshotStore(log, clusterKey, openSilentLogger());
  await store.write(state);
  t.deepEqual(await store.readNewest(), state);
  const encoded = await encodeState(clusterKey, state);
  t.true(E.isRight(await decodeState(clusterKey, encoded)));
});
