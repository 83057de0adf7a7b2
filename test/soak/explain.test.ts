import test, {ExecutionContext} from 'ava';
import {readRequestTrace} from '../../src/cli/explain.js';
import {systemClock} from '../../src/base/index.js';
import {RequestRecord} from './load_generator.js';
import {SoakFleet} from './soak_fleet.js';

let worlds = 0;

/** Runs real nodes, lets a scenario happen, and gives the records of all callers; the fleet ends with the test. */
async function startWorld(t: ExecutionContext): Promise<SoakFleet> {
  t.timeout(60_000);
  worlds += 1;
  const basePort = 28_000 + (process.pid % 400) * 10;
  const world = new SoakFleet({seed: worlds, nodes: 3, basePort});
  t.teardown(async () => {
    await world.stop();
    world.removeFolder();
  });
  await world.start();
  return world;
}

async function waitForRecords(
  world: SoakFleet,
): Promise<readonly RequestRecord[]> {
  await Promise.all(world.loadGenerators.map(callers => callers.waitForAll()));
  // The last lines of the logs are written in batches.
  await systemClock.sleep(300);
  return world.loadGenerators.flatMap(({records}) => records);
}

function getStatus({outcome}: RequestRecord): number {
  return outcome.kind === 'answered' ? outcome.status : 0;
}

/** Fields of the lines that `explain` gives for a request, by message. */
async function readPath(world: SoakFleet, id: string) {
  const {lines, malformed} = await readRequestTrace(id, world.writeLogs());
  return {
    malformed,
    find: (msg: string, node?: string) =>
      lines.find(line => line.msg === msg && (!node || line.node === node))
        ?.fields,
    list: (msg: string) => lines.filter(line => line.msg === msg),
  };
}

// Guards against logs from which nobody can tell that a server with good heartbeats has failed a request.
test.serial('explain names the server that hung', async t => {
  const world = await startWorld(t);
  const sick = world.vms[1];
  sick.backend.mode = 'hang';
  for (let i = 0; i < 12; i += 1) world.loadGenerators[0].start('/safe/', true);
  const records = await waitForRecords(world);
  const failed = records.find(record => getStatus(record) === 504);
  if (!failed) return t.fail('no request was failed by the server');
  const {find, malformed} = await readPath(world, failed.id);
  t.is(malformed, 0);
  t.is(find('request placed')?.guard, 'n1');
  t.is(find('request ended')?.result, 'timeout');
  t.is(find('request ended')?.mayHaveRun, true);
  t.is(find('run ended', 'n1')?.server, sick.backend.id);
});

// Guards against refusals that do not say what decided them.
test.serial(
  'explain gives the forecast by which a request was refused',
  async t => {
    const world = await startWorld(t);
    for (const {backend} of world.vms) backend.workMs = 900;
    // Runs of a known length, so that the forecast rests on something.
    for (let i = 0; i < 6; i += 1)
      world.loadGenerators[0].start('/safe/', false);
    await waitForRecords(world);
    for (let i = 0; i < 90; i += 1)
      world.loadGenerators[i % 3].start('/safe/', false);
    const records = await waitForRecords(world);
    const refused = records.find(record => getStatus(record) === 503);
    if (!refused) return t.fail('no request was refused');
    const {find, list} = await readPath(world, refused.id);
    t.true(['busy', 'expired'].includes(String(find('request ended')?.result)));
    t.is(find('request ended')?.mayHaveRun, false);
    t.true(Number(find('request ended')?.expectedMs) > 300);
    t.is(typeof find('request ended')?.shortestWaitMs, 'number');
    t.is(list('run ended').length, 0, 'a refused request has not run');
  },
);

// Guards against a killed node that leaves no trace in the path of the requests it took along.
test.serial('explain shows that the node of a run was killed', async t => {
  const world = await startWorld(t);
  for (const {backend} of world.vms) backend.workMs = 1500;
  const {backend} = world.vms[2];
  for (let i = 0; i < 30 && backend.runs.length === 0; i += 1) {
    world.loadGenerators[0].start('/safe/', true);
    await systemClock.sleep(100);
  }
  t.true(backend.runs.length > 0, 'the server of n2 has run nothing');
  await world.vms[2].restart('SIGKILL', 300);
  const records = await waitForRecords(world);
  const lost = records.find(record => getStatus(record) === 502);
  if (!lost) {
    const seen = records.map(({id, outcome}) => ({id, outcome}));
    return t.fail(`none lost with the node: ${JSON.stringify(seen)}`);
  }
  const {find, list} = await readPath(world, lost.id);
  t.is(find('request placed')?.guard, 'n2');
  t.is(find('attempt failed')?.guard, 'n2');
  t.is(find('attempt failed')?.mayHaveRun, true);
  t.true(
    ['node-restarted', 'link-lost'].includes(
      String(find('attempt failed')?.reason),
    ),
  );
  t.true(
    list('starting').some(({node}) => node === 'n2'),
    'the log of n2 shows a new process without a stop',
  );
  t.is(find('stopping', 'n2'), undefined);
});

// Guards against a node that waits for the reader of its log.
test.serial(
  'a node whose log nobody reads goes on serving and says what it dropped',
  async t => {
    const world = await startWorld(t);
    world.vms[0].setLogPaused(true);
    // Each refusal is a line; together they are more than a pipe and the bound on waiting lines hold.
    for (let i = 0; i < 300; i += 1) {
      for (let k = 0; k < 35; k += 1)
        world.loadGenerators[0].start('/none/', false);
      await systemClock.sleep(40);
    }
    await waitForRecords(world);
    for (let i = 0; i < 5; i += 1)
      world.loadGenerators[0].start('/safe/', false);
    const last = (await waitForRecords(world)).slice(-5);
    const failed = last.filter(record => ![200, 0].includes(getStatus(record)));
    t.deepEqual(failed, []);
    t.true(last.some(record => getStatus(record) === 200));
    world.vms[0].setLogPaused(false);
    await systemClock.sleep(1000);
    const dropped = world.vms[0]
      .listLogLines()
      .find(line => line.includes('log lines dropped'));
    t.truthy(dropped);
  },
);
