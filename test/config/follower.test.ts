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

const begun = [
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

/** A loaded follower that follows, and the operator's side of it. */
async function openOperator(log: FakeLog) {
  const stop = new AbortController();
  const follower = makeFollower(log, {clock: systemClock});
  await follower.load(stop.signal);
  void follower.run(stop.signal);
  const operator = new PlanSubmitter(
    log,
    follower,
    clusterKey,
    'config',
    systemClock,
  );
  return {follower, operator, stop: () => stop.abort()};
}

// Guards against a lost reply that is told as a failure, or that makes the change twice. The baseline answered 503 to
// both, although the plan and the confirmation stood in the log.
test('plans and confirmations whose replies were lost are found in the log', async t => {
  const log = await openLog(...begun);
  const {operator, follower, stop} = await openOperator(log);
  log.loseReplies = 1;
  const plan = await operator.createPlan([setWeight('a', 2)], 'plan-lost');
  log.loseReplies = 1;
  const outcome = await operator.confirmPlan(plan.plan, 'conf-lost');
  t.like(outcome, {kind: 'in-force', plan: 'plan-lost'});
  t.deepEqual(await operator.confirmPlan(plan.plan, 'conf-lost'), outcome);
  t.is(follower.getConfiguration().version, 3);
  t.is(log.getStream('config').values.length, 4);
  await t.throwsAsync(operator.confirmPlan('plan-other', 'conf-lost'), {
    message: /was given to plan plan-lost/,
  });
  stop();
});

// Guards against an operator who cannot tell whether a confirmation may still act. The baseline said the same always.
test('with the log down the error says whether a plan may still take effect', async t => {
  const log = await openLog(...begun);
  const {operator, stop} = await openOperator(log);
  await operator.createPlan([setWeight('a', 2)], 'plan-kept');
  log.down = 'refusing';
  await t.throwsAsync(operator.confirmPlan('plan-kept', 'conf-kept'), {
    message: /has no effect.*try again when the log answers/,
  });
  await t.throwsAsync(operator.confirmPlan('plan-else', 'conf-else'), {
    message: /does not know plan plan-else.*use another node/,
  });
  log.down = 'silent';
  await t.throwsAsync(operator.confirmPlan('plan-kept', 'conf-kept'), {
    message: /may still take effect.*same id.*meanwhile/,
  });
  log.down = 'no';
  t.like(await operator.confirmPlan('plan-kept', 'conf-kept'), {
    kind: 'in-force',
  });
  stop();
});

// Guards against garbage in the stream that stops the fold, or that nobody is told of.
test('bad records are counted and skipped', async t => {
  const log = await openLog(...begun);
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

// Guards against nodes of different program versions that fold one log to different configurations: the older one
// must stop before the record that it does not understand. The baseline skipped it and folded on.
test('a record of a newer format holds the fold and keeps what is in force', async t => {
  const log = await openLog(...begun);
  await log.append('config', [signer.encode({kind: 'launch'}, 2)]);
  await log.append('config', [
    signer.encode(makePlan('plan-late', 1, addDesk)),
  ]);
  const {follower, operator, stop} = await openOperator(log);
  t.like(follower.getHold(), {kind: 'newer-format', offset: 2, format: 2});
  t.is(follower.getState().next, 2);
  t.is(follower.getConfiguration().version, 1);
  await t.throwsAsync(operator.createPlan([setWeight('a', 1)]), {
    message: /update the program.*use another node/,
  });
  stop();
});

// Guards against folding over a gap after an outage longer than the retention. The baseline began with an empty
// configuration wherever the log began.
test('a log that begins after the known records is not folded', async t => {
  const log = await openLog(
    ...begun,
    makePlan('plan-more', 1, setWeight('a', 1)),
  );
  log.removeBefore('config', 2);
  const follower = makeFollower(log);
  t.regex((await follower.loadOnce()) ?? '', /records from 2 on, 0 is needed/);
  t.is(follower.getState(), emptyConfigState);
  t.false(follower.isLoaded());

  const state = applyRecords(emptyConfigState, ...begun);
  const healed = makeFollower(log, {peers: makePeers([state])});
  t.is(await healed.loadOnce(), undefined);
  t.is(healed.getState().next, 3);
  t.is(healed.getConfiguration().version, 1);
});

// Guards against a node that takes an older configuration from a snapshot, a peer or a log that was reset.
test('a node never goes back', async t => {
  const log = await openLog(...begun);
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

// Guards against a node that serves callers without any configuration: the baseline opened its port at once.
test('with neither log nor peers a node does not load, with a peer it does', async t => {
  const log = await openLog(...begun);
  log.down = 'refusing';
  const follower = makeFollower(log);
  t.regex((await follower.loadOnce()) ?? '', /log down/);
  t.false(follower.isLoaded());
  const state = applyRecords(emptyConfigState, ...begun);
  const helped = makeFollower(log, {peers: makePeers([state])});
  t.is(await helped.loadOnce(), undefined);
  t.is(helped.getConfiguration().version, 1);
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

// Guards against a node cut off from the log that stays behind its peers for hours.
test('peers in two data centres are asked and the highest version is taken', async t => {
  const log = await openLog(...begun);
  const older = makeFollower(log);
  await older.loadOnce();
  await log.append('config', [
    signer.encode(makePlan('plan-more', 1, setWeight('a', 1))),
    signer.encode(makeConfirmation('plan-more', 'conf-more')),
  ]);
  const newer = makeFollower(log);
  await newer.loadOnce();
  const listed = [
    await openPeer(older, 'wien-nord'),
    await openPeer(newer, 'noe-tulln'),
    await openPeer(makeFollower(log), 'wien-sued'),
  ];
  const calls = new NodeCallClient(clusterKey);
  const makeAsking = (count: number) =>
    new PeerStateClient(
      calls,
      clusterKey,
      () => listed.slice(0, count),
      () => 0.5,
      openSilentLogger(),
    );
  log.down = 'silent';
  const joining = makeFollower(log, {peers: makeAsking(2)});
  t.is(await joining.loadOnce(), undefined);
  t.is(joining.getConfiguration().version, 3);
  t.deepEqual(joining.getState(), newer.getState());

  const clock = new ManualClock();
  const behind = makeFollower(log, {peers: makeAsking(1), clock});
  await behind.loadOnce();
  t.is(behind.getConfiguration().version, 1);
  behind.onPeerVersion(listed[1], 3);
  await clock.advance(1000);
  t.like(
    await behind
      .waitFor(state => state.config.version === 3 || undefined, 5000)
      .then(() => behind.getConfiguration()),
    {version: 3},
  );
  // A peer that has no configuration itself is no answer.
  t.deepEqual(await makeAsking(3).fetch(9), ['not-newer', 'not-newer']);
  await calls.close();
  for (const peer of listed) peer.close();
});

// Guards against snapshots of a writer that stopped half-way, of a slow writer with an older version, and against
// parts that aged out: each must leave the highest whole version.
test('the highest whole snapshot wins', async t => {
  const log = new FakeLog();
  const logger = openSilentLogger();
  const openStore = () => new SnapshotStore(log, clusterKey, logger);
  const older = applyRecords(emptyConfigState, ...begun);
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

// Guards against a state that comes back different from a snapshot in several parts.
test('a state of many parts is read back whole', async t => {
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
