import {strict as assert} from 'node:assert';
import {systemClock} from '../../base/index.js';
import {Exchange} from '../load_generator.js';
import {makeStep, StepDefinition} from './gherkin.js';
import {getServerId, World} from './world.js';

// A decision made up to this long after the limit is still within the resolution of the log times.
const resolutionMs = 100;

async function assertNoNewWork(
  world: World,
  index: number,
  seconds: number,
): Promise<void> {
  const limit = world.lastEventMs + seconds * 1000;
  const observeUntil = limit + 3000;
  await systemClock.sleep(observeUntil - systemClock.getTime());
  const last = world.findLastRoutingMs(getServerId(world, index));
  assert.ok(
    last <= limit + resolutionMs,
    `last decision ${Math.round(last - world.lastEventMs)} ms after the event`,
  );
}

async function assertNothingRun(
  world: World,
  index: number,
  seconds: number,
): Promise<void> {
  const limit = world.lastEventMs + seconds * 1000;
  await systemClock.sleep(limit + 3000 - systemClock.getTime());
  const runs = await world.fleet.fetchRuns(getServerId(world, index));
  const late = runs.filter(run => run.atMs > limit + resolutionMs);
  assert.deepEqual(late.slice(0, 3), [], `${late.length} runs too late`);
}

async function assertOnlyExcluded(
  world: World,
  vm: number,
  node: number,
): Promise<void> {
  const status = await world.getStatus(`n${node}`);
  assert.ok(status, `n${node} does not answer`);
  const excluded = status.services[0].servers
    .filter(({verdict}) => verdict.kind === 'excluded')
    .map(({server}) => server);
  const others = excluded.filter(server => server !== getServerId(world, vm));
  assert.deepEqual(others, []);
}

async function assertNoneBroken(world: World): Promise<void> {
  const exchanges = await world.finishLoad();
  const broken = exchanges.filter(({outcome}) => outcome.kind === 'broken');
  assert.deepEqual(broken.slice(0, 3), [], `${broken.length} broken`);
}

async function assertOnlyTurnedAway(world: World, node: number): Promise<void> {
  const exchanges = await world.finishLoad();
  const bad = exchanges.filter(({target, outcome}) => {
    if (outcome.kind === 'answered') return !outcome.isOwnAnswer;
    const turnedAway =
      outcome.kind === 'refused'
        ? outcome.error === 'leaving'
        : /ECONNREFUSED/.test(outcome.error);
    return !(turnedAway && target === world.fleet.getNode(`n${node}`).callers);
  });
  assert.deepEqual(bad.slice(0, 3), [], `${bad.length} of ${exchanges.length}`);
}

async function assertWorkAgain(
  world: World,
  index: number,
  seconds: number,
): Promise<void> {
  const server = getServerId(world, index);
  await world.fleet.waitUntil(`work for ${server}`, seconds * 1000, () => {
    return world.findLastRoutingMs(server) > world.lastEventMs;
  });
}

async function assertOwnAnswers(world: World): Promise<void> {
  const exchanges = await world.finishLoad();
  assert.ok(exchanges.length > 0, 'no request was sent');
  const foreign = exchanges.filter(
    ({outcome}) => outcome.kind === 'answered' && !outcome.isOwnAnswer,
  );
  assert.deepEqual(foreign, []);
}

async function assertAllAnswered(world: World): Promise<void> {
  const exchanges = await world.finishLoad();
  const open = exchanges.filter(({outcome}) => !isGood(outcome));
  assert.deepEqual(
    open.slice(0, 3),
    [],
    `${open.length} of ${exchanges.length}`,
  );
}

async function assertShareAnswered(
  world: World,
  percent: number,
  limitMs: number,
): Promise<void> {
  const exchanges = await world.finishLoad();
  const good = exchanges.filter(
    ({outcome, tookMs}) => isGood(outcome) && tookMs <= limitMs,
  );
  const share = (100 * good.length) / exchanges.length;
  assert.ok(
    share >= percent,
    `${share.toFixed(2)}% of ${exchanges.length} were answered within ${limitMs} ms`,
  );
}

function isGood(outcome: Exchange['outcome']): boolean {
  return (
    outcome.kind === 'answered' && outcome.status < 400 && outcome.isOwnAnswer
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

async function assertNoneTwice(world: World): Promise<void> {
  await world.finishLoad();
  const twice = [...countRuns(world)].filter(([, count]) => count > 1);
  assert.deepEqual(twice, []);
}

async function assertNotRunIsTrue(world: World): Promise<void> {
  const exchanges = await world.finishLoad();
  const runs = countRuns(world);
  const told = groupByToken(exchanges).filter(
    group =>
      group.length > 0 &&
      group.every(
        ({outcome}) => outcome.kind === 'refused' && outcome.ran === 'no',
      ),
  );
  const wrong = told.filter(group => runs.has(group[0].token));
  assert.deepEqual(wrong, []);
}

async function assertAnsweredRan(world: World): Promise<void> {
  const exchanges = await world.finishLoad();
  const runs = countRuns(world);
  const lost = exchanges.filter(
    ({method, outcome, token}) =>
      method === 'POST' && isGood(outcome) && !runs.has(token),
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

function assertFloorKept(world: World, floor: number): void {
  assert.ok(world.nodeSamples.length > 0, 'no node was seen');
  const below = world.nodeSamples.filter(({usable}) => usable < floor);
  assert.deepEqual(below.slice(0, 3), []);
}

function assertNoneEjected(world: World): void {
  const ejected = world.nodeSamples.flatMap(sighting => sighting.ejected);
  assert.deepEqual([...new Set(ejected)], []);
}

async function assertSameVersion(world: World, seconds: number): Promise<void> {
  const version = world.stepResults.get('version') as number | undefined;
  await world.fleet.waitUntil('one version everywhere', seconds * 1000, () =>
    version === undefined
      ? hasOneVersion(world)
      : world.isTrueOnAllNodes(status => status.version === version),
  );
}

async function hasOneVersion(world: World): Promise<boolean> {
  const versions = new Set<number>();
  await world.isTrueOnAllNodes(status => {
    versions.add(status.version);
    return true;
  });
  return versions.size === 1;
}

function assertNoneReverted(world: World): void {
  const newest = new Map<string, number>();
  for (const {node, version} of world.nodeSamples) {
    const before = newest.get(node) ?? -1;
    assert.ok(version >= before, `${node} went from ${before} to ${version}`);
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

/** Sentences that check what callers and operators saw. */
export const checkSteps: readonly StepDefinition<World>[] = [
  makeStep(
    'backend server {int} gets no new work after {int} second(s)',
    assertNoNewWork,
  ),
  makeStep(
    'backend server {int} gets work again within {int} second(s)',
    assertWorkAgain,
  ),
  makeStep("every answer is whole and the caller's own", assertOwnAnswers),
  makeStep(
    'backend server {int} runs no new work after {int} second(s)',
    assertNothingRun,
  ),
  makeStep(
    'no healthy server but that of VM {int} was excluded on node {int}',
    assertOnlyExcluded,
  ),
  makeStep(
    'no answer was broken and only node {int} turned callers away',
    assertOnlyTurnedAway,
  ),
  makeStep('no answer was cut short', assertNoneBroken),
  makeStep('every request is answered', assertAllAnswered),
  makeStep(
    '{float} percent of requests are answered within {int} ms',
    assertShareAnswered,
  ),
  makeStep('no instruction ran twice', assertNoneTwice),
  makeStep(
    'every instruction reported as not run was not run',
    assertNotRunIsTrue,
  ),
  makeStep('every instruction reported as done ran', assertAnsweredRan),
  makeStep('some requests were refused as not run', assertSomeRefused),
  makeStep(
    'at least {int} backend server(s) stayed usable on every node',
    assertFloorKept,
  ),
  makeStep('no backend server was ejected', assertNoneEjected),
  makeStep(
    'every node has the same version within {int} second(s)',
    assertSameVersion,
  ),
  makeStep('no node went back to an older version', assertNoneReverted),
  makeStep('exactly one operator is told to plan anew', assertOneConfirmed),
  makeStep('the node exits cleanly', (world: World) => {
    assert.equal(world.stepResults.get('exit code'), 0);
  }),
];
