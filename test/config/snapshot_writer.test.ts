import test from 'ava';
import {ManualClock, openSilentLogger} from '../../src/base/index.js';
import {SnapshotStore, SnapshotWriter} from '../../src/config/index.js';
import {
  addDesk,
  clusterKey,
  FakeLog,
  makeConfirmation,
  makeFollower,
  makePlan,
  signer,
} from './fakes.js';

const intervalMs = 60_000;

async function openWriters(log: FakeLog, clock: ManualClock, count: number) {
  return Promise.all(
    Array.from({length: count}, async (_, rank) => {
      const follower = makeFollower(log, {clock});
      await follower.loadOnce();
      const logger = openSilentLogger();
      const store = new SnapshotStore(log, clusterKey, logger);
      return new SnapshotWriter({
        store,
        follower,
        getRank: () => rank,
        intervalMs,
        clock,
        logger,
      });
    }),
  );
}

async function openLog(): Promise<FakeLog> {
  const log = new FakeLog();
  await log.append('config', [
    signer.encode(makePlan('plan-start', -1, addDesk)),
    signer.encode(makeConfirmation('plan-start', 'conf-start')),
  ]);
  return log;
}

async function runFor(
  writers: readonly SnapshotWriter[],
  log: FakeLog,
  clock: ManualClock,
  seconds: number,
): Promise<number> {
  let written = 0;
  for (let i = 0; i < seconds; i += 1) {
    await clock.advance(1000);
    log.atMs = clock.getTime();
    for (const writer of writers) {
      if (await writer.writeIfDue().catch(() => false)) written += 1;
    }
  }
  return written;
}

// Guards against losing a configuration to the retention of the log because snapshots are written only after changes, and
// against all nodes writing at once because their delay does not depend on rank.
test('one of several writers renews the snapshot even if nothing changes', async t => {
  const log = await openLog();
  const clock = new ManualClock();
  const writers = await openWriters(log, clock, 5);
  t.is(await runFor(writers, log, clock, 30), 1);
  t.is(await runFor(writers, log, clock, 180), 3);
  log.removeBefore('config', 2);
  const joining = makeFollower(log);
  t.is(await joining.loadOnce(), undefined);
  t.is(joining.getConfiguration().version, 1);
});

// Guards against a missing snapshot after the node of the first rank failed or the log lost the snapshot.
test('the next rank writes when the first does not', async t => {
  const log = await openLog();
  const clock = new ManualClock();
  const [, ...others] = await openWriters(log, clock, 3);
  t.is(await runFor(others, log, clock, 30), 1);
  log.removeBefore('config-snapshots', 1);
  t.is(await runFor(others, log, clock, 100), 1);
});
