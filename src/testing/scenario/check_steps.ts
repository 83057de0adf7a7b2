import {strict as assert} from 'node:assert';
import {systemClock} from '../../base/index.js';
import {Exchange} from '../load_generator.js';
import {makeStep, StepDefinition} from './gherkin.js';
import {getServerId, World} from './world.js';

// Events up to this long after a time limit still pass, since log times have a limited resolution.
const logTimeToleranceMs = 100;

async function assertNoNewRequests(
  world: World,
  index: number,
  seconds: number,
): Promise<void> {
  const limit = world.lastEventMs + seconds * 1000;
  const observeUntil = limit + 3000;
  await systemClock.sleep(observeUntil - systemClock.getTime());
  const last = world.findLastRoutingMs(getServerId(world, index));
  assert.ok(
    last <= limit + logTimeToleranceMs,
    `last request routed ${Math.round(last - world.lastEventMs)} ms after the event`,
  );
}

async function assertNoNewRuns(
  world: World,
  index: number,
  seconds: number,
): Promise<void> {
  const limit = world.lastEventMs + seconds * 1000;
  await systemClock.sleep(limit + 3000 - systemClock.getTime());
  const runs = await world.fleet.fetchRuns(getServerId(world, index));
  const late = runs.filter(run => run.atMs > limit + logTimeToleranceMs);
  assert.deepEqual(
    late.slice(0, 3),
    [],
    `${late.length} requests ran after the limit`,
  );
}

async function assertNoOtherExcluded(
  world: World,
  vm: number,
  node: number,
): Promise<void> {
  const status = await world.getStatus(`n${node}`);
  assert.ok(status, `n${node} does not respond`);
  const excluded = status.services[0].servers
    .filter(({verdict}) => verdict.kind === 'excluded')
    .map(({server}) => server);
  const others = excluded.filter(server => server !== getServerId(world, vm));
  assert.deepEqual(others, []);
}

async function assertNoResponseCut(world: World): Promise<void> {
  const exchanges = await world.finishLoad();
  const broken = exchanges.filter(({outcome}) => outcome.kind === 'broken');
  assert.deepEqual(broken.slice(0, 3), [], `${broken.length} broken`);
}

async function assertOnlyRefusedByNode(
  world: World,
  node: number,
): Promise<void> {
  const exchanges = await world.finishLoad();
  const bad = exchanges.filter(({target, outcome}) => {
    if (outcome.kind === 'answered') return !outcome.isIntact;
    const isRefusal =
      outcome.kind === 'refused'
        ? outcome.error === 'leaving'
        : /ECONNREFUSED/.test(outcome.error);
    return !(isRefusal && target === world.fleet.getNode(`n${node}`).callers);
  });
  assert.deepEqual(bad.slice(0, 3), [], `${bad.length} of ${exchanges.length}`);
}

async function assertRequestsResume(
  world: World,
  index: number,
  seconds: number,
): Promise<void> {
  const server = getServerId(world, index);
  await world.fleet.waitUntil(`a request for ${server}`, seconds * 1000, () => {
    return world.findLastRoutingMs(server) > world.lastEventMs;
  });
}

async function assertResponsesMatch(world: World): Promise<void> {
  const exchanges = await world.finishLoad();
  assert.ok(exchanges.length > 0, 'no request was sent');
  const mismatched = exchanges.filter(
    ({outcome}) => outcome.kind === 'answered' && !outcome.isIntact,
  );
  assert.deepEqual(mismatched, []);
}

async function assertAllAnswered(world: World): Promise<void> {
  const exchanges = await world.finishLoad();
  const unsuccessful = exchanges.filter(({outcome}) => !isSuccess(outcome));
  assert.deepEqual(
    unsuccessful.slice(0, 3),
    [],
    `${unsuccessful.length} of ${exchanges.length}`,
  );
}

async function assertShareAnsweredWithin(
  world: World,
  percent: number,
  limitMs: number,
): Promise<void> {
  const exchanges = await world.finishLoad();
  const inTime = exchanges.filter(
    ({outcome, tookMs}) => isSuccess(outcome) && tookMs <= limitMs,
  );
  const share = (100 * inTime.length) / exchanges.length;
  assert.ok(
    share >= percent,
    `${share.toFixed(2)}% of ${exchanges.length} were answered within ${limitMs} ms`,
  );
}

function isSuccess(outcome: Exchange['outcome']): boolean {
  return (
    outcome.kind === 'answered' && outcome.status < 400 && outcome.isIntact
  );
}

function countRuns(world: World): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const run of world.fleet.listRuns()) {
    const token = run.path.split('/').pop() ?? '';
    counts.set(token, (counts.get(token) ?? 0) + 1);
  }
  return counts;
}

async function assertNoneRanTwice(world: World): Promise<void> {
  await world.finishLoad();
  const twice = [...countRuns(world)].filter(([, count]) => count > 1);
  assert.deepEqual(twice, []);
}

async function assertNotRunReports(world: World): Promise<void> {
  const exchanges = await world.finishLoad();
  const runs = countRuns(world);
  const reportedNotRun = groupByToken(exchanges).filter(
    group =>
      group.length > 0 &&
      group.every(
        ({outcome}) => outcome.kind === 'refused' && outcome.ran === 'no',
      ),
  );
  const wrong = reportedNotRun.filter(group => runs.has(group[0].token));
  assert.deepEqual(wrong, []);
}

async function assertDoneReports(world: World): Promise<void> {
  const exchanges = await world.finishLoad();
  const runs = countRuns(world);
  const lost = exchanges.filter(
    ({method, outcome, token}) =>
      method === 'POST' && isSuccess(outcome) && !runs.has(token),
  );
  assert.deepEqual(lost, []);
}

async function assertSomeRefused(world: World): Promise<void> {
  const exchanges = await world.finishLoad();
  assert.ok(
    exchanges.some(
      ({outcome}) => outcome.kind === 'refused' && outcome.ran === 'no',
    ),
  );
}

function groupByToken(
  exchanges: readonly Exchange[],
): readonly (readonly Exchange[])[] {
  const groups = new Map<string, Exchange[]>();
  for (const exchange of exchanges) {
    const group = groups.get(exchange.token) ?? [];
    group.push(exchange);
    groups.set(exchange.token, group);
  }
  return [...groups.values()];
}

function assertMinUsable(world: World, floor: number): void {
  assert.ok(world.nodeSamples.length > 0, 'no status of a node was recorded');
  const below = world.nodeSamples.filter(({usable}) => usable < floor);
  assert.deepEqual(below.slice(0, 3), []);
}

function assertNoneEjected(world: World): void {
  const ejected = world.nodeSamples.flatMap(sample => sample.ejected);
  assert.deepEqual([...new Set(ejected)], []);
}

async function assertSameVersion(world: World, seconds: number): Promise<void> {
  const version = world.stepResults.get('version') as number | undefined;
  await world.fleet.waitUntil('one version on all nodes', seconds * 1000, () =>
    version === undefined
      ? isVersionUniform(world)
      : world.isTrueOnAllNodes(status => status.version === version),
  );
}

async function isVersionUniform(world: World): Promise<boolean> {
  const versions = new Set<number>();
  await world.isTrueOnAllNodes(status => {
    versions.add(status.version);
    return true;
  });
  return versions.size === 1;
}

function assertNoVersionDecrease(world: World): void {
  const newest = new Map<string, number>();
  for (const {node, version} of world.nodeSamples) {
    const newestVersion = newest.get(node) ?? -1;
    assert.ok(
      version >= newestVersion,
      `${node} went from ${newestVersion} to ${version}`,
    );
    newest.set(node, version);
  }
}

function assertOneConfirmed(world: World): void {
  const outcomes = world.stepResults.get(
    'confirmations',
  ) as PromiseSettledResult<unknown>[];
  const refused = outcomes.filter(
    outcome => outcome.status === 'rejected',
  ) as PromiseRejectedResult[];
  assert.equal(refused.length, 1);
  assert.match(String(refused[0].reason), /plan anew|make it anew|new plan/);
}

/** Steps that check the outcomes for callers and operators and the state of nodes and backend servers. */
export const checkSteps: readonly StepDefinition<World>[] = [
  makeStep(
    'backend server {int} receives no new requests after {int} second(s)',
    assertNoNewRequests,
  ),
  makeStep(
    'backend server {int} receives requests again within {int} second(s)',
    assertRequestsResume,
  ),
  makeStep(
    'every response is complete and belongs to its request',
    assertResponsesMatch,
  ),
  makeStep(
    'backend server {int} runs no new request after {int} second(s)',
    assertNoNewRuns,
  ),
  makeStep(
    'no healthy server but that of VM {int} was excluded on node {int}',
    assertNoOtherExcluded,
  ),
  makeStep(
    'no response was broken and only node {int} refused requests',
    assertOnlyRefusedByNode,
  ),
  makeStep('no response was cut short', assertNoResponseCut),
  makeStep('every request is answered', assertAllAnswered),
  makeStep(
    '{float} percent of requests are answered within {int} ms',
    assertShareAnsweredWithin,
  ),
  makeStep('no instruction ran twice', assertNoneRanTwice),
  makeStep(
    'every instruction reported as not run was not run',
    assertNotRunReports,
  ),
  makeStep('every instruction reported as done ran', assertDoneReports),
  makeStep('some requests were refused as not run', assertSomeRefused),
  makeStep(
    'at least {int} backend server(s) stayed usable on every node',
    assertMinUsable,
  ),
  makeStep('no backend server was ejected', assertNoneEjected),
  makeStep(
    'every node has the same version within {int} second(s)',
    assertSameVersion,
  ),
  makeStep('no node went back to an older version', assertNoVersionDecrease),
  makeStep('exactly one operator is asked for a new plan', assertOneConfirmed),
  makeStep('the node exits cleanly', (world: World) => {
    assert.equal(world.stepResults.get('exit code'), 0);
  }),
];
