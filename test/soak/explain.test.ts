import test, {ExecutionContext} from 'ava';
import {readRequestTrace} from '../../src/cli/explain.js';
import {systemClock} from '../../src/base/index.js';
import {RequestRecord} from './load_generator.js';
import {SoakFleet} from './soak_fleet.js';

let startedFleets = 0;

/** Starts a fleet of real nodes that is stopped at the end of the test. */
async function startFleet(t: ExecutionContext): Promise<SoakFleet> {
  t.timeout(60_000);
  startedFleets += 1;
  const basePort = 28_000 + (process.pid % 400) * 10;
  const fleet = new SoakFleet({seed: startedFleets, nodes: 3, basePort});
  t.teardown(async () => {
    await fleet.stop();
    fleet.removeFolder();
  });
  await fleet.start();
  return fleet;
}

async function waitForRecords(
  fleet: SoakFleet,
): Promise<readonly RequestRecord[]> {
  await Promise.all(fleet.loadGenerators.map(callers => callers.waitForAll()));
  // Log lines are written in batches; wait for the last batch.
  await systemClock.sleep(300);
  return fleet.loadGenerators.flatMap(({records}) => records);
}

function getStatus({outcome}: RequestRecord): number {
  return outcome.kind === 'answered' ? outcome.status : 0;
}

/** Reads the log lines that `explain` returns for a request; the lookups are by message. */
async function readTrace(fleet: SoakFleet, id: string) {
  const {lines, malformed} = await readRequestTrace(id, fleet.writeLogs());
  return {
    malformed,
    find: (msg: string, node?: string) =>
      lines.find(line => line.msg === msg && (!node || line.node === node))
        ?.fields,
    list: (msg: string) => lines.filter(line => line.msg === msg),
  };
}

// Guards against logs that do not show that a server with healthy heartbeats has failed a request.
test.serial('explain names the server that hung', async t => {
  const fleet = await startFleet(t);
  const faultyVm = fleet.vms[1];
  faultyVm.backend.mode = 'hang';
  for (let i = 0; i < 12; i += 1)
    fleet.loadGenerators[0].startRequest('/safe/', true);
  const records = await waitForRecords(fleet);
  const failed = records.find(record => getStatus(record) === 504);
  if (!failed) return t.fail('no request timed out at the hanging server');
  const {find, malformed} = await readTrace(fleet, failed.id);
  t.is(malformed, 0);
  t.is(find('request placed')?.guard, 'n1');
  t.is(find('request ended')?.result, 'timeout');
  t.is(find('request ended')?.mayHaveRun, true);
  t.is(find('run ended', 'n1')?.server, faultyVm.backend.id);
});

// Guards against refusals whose log lines do not contain the estimate that caused them.
test.serial(
  'explain shows the estimate by which a request was refused',
  async t => {
    const fleet = await startFleet(t);
    for (const {backend} of fleet.vms) backend.workMs = 900;
    // Completed runs of a known duration, from which the wait is estimated.
    for (let i = 0; i < 6; i += 1)
      fleet.loadGenerators[0].startRequest('/safe/', false);
    await waitForRecords(fleet);
    for (let i = 0; i < 90; i += 1)
      fleet.loadGenerators[i % 3].startRequest('/safe/', false);
    const records = await waitForRecords(fleet);
    const refused = records.find(record => getStatus(record) === 503);
    if (!refused) return t.fail('no request was refused');
    const {find, list} = await readTrace(fleet, refused.id);
    t.true(['busy', 'expired'].includes(String(find('request ended')?.result)));
    t.is(find('request ended')?.mayHaveRun, false);
    t.true(Number(find('request ended')?.expectedMs) > 300);
    t.is(typeof find('request ended')?.shortestWaitMs, 'number');
    t.is(list('run ended').length, 0, 'a refused request has not run');
  },
);

// Guards against a killed node that leaves no trace in the logs of the requests that were lost with it.
test.serial('explain shows that the node of a run was killed', async t => {
  const fleet = await startFleet(t);
  for (const {backend} of fleet.vms) backend.workMs = 1500;
  const {backend} = fleet.vms[2];
  for (let i = 0; i < 30 && backend.runs.length === 0; i += 1) {
    fleet.loadGenerators[0].startRequest('/safe/', true);
    await systemClock.sleep(100);
  }
  t.true(backend.runs.length > 0, 'the server of n2 has run no request');
  await fleet.vms[2].restart('SIGKILL', 300);
  const records = await waitForRecords(fleet);
  const lost = records.find(record => getStatus(record) === 502);
  if (!lost) {
    const seen = records.map(({id, outcome}) => ({id, outcome}));
    return t.fail(`no request was lost with the node: ${JSON.stringify(seen)}`);
  }
  const {find, list} = await readTrace(fleet, lost.id);
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
    'the log of n2 shows the start of a new process',
  );
  t.is(find('stopping', 'n2'), undefined);
});

// Guards against a node that blocks when nothing reads its standard output.
test.serial(
  'a node whose log is not read keeps serving and logs that lines were dropped',
  async t => {
    const fleet = await startFleet(t);
    fleet.vms[0].setLogPaused(true);
    // Each refusal logs one line; together they exceed the pipe buffer and the limit of queued lines.
    for (let i = 0; i < 300; i += 1) {
      for (let k = 0; k < 35; k += 1)
        fleet.loadGenerators[0].startRequest('/none/', false);
      await systemClock.sleep(40);
    }
    await waitForRecords(fleet);
    for (let i = 0; i < 5; i += 1)
      fleet.loadGenerators[0].startRequest('/safe/', false);
    const last = (await waitForRecords(fleet)).slice(-5);
    const failed = last.filter(record => ![200, 0].includes(getStatus(record)));
    t.deepEqual(failed, []);
    t.true(last.some(record => getStatus(record) === 200));
    fleet.vms[0].setLogPaused(false);
    await systemClock.sleep(1000);
    const dropped = fleet.vms[0]
      .listLogLines()
      .find(line => line.includes('log lines dropped'));
    t.truthy(dropped);
  },
);
