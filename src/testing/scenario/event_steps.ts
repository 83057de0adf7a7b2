import {systemClock} from '../../base/index.js';
import {makeStep, StepDefinition} from './gherkin.js';
import {getServerId, World} from './world.js';

function makeEvent(
  expression: string,
  action: (world: World, ...args: never[]) => Promise<unknown> | unknown,
): StepDefinition<World> {
  return makeStep<World>(expression, async (world, ...args) => {
    await action(world, ...args);
    world.markEvent();
  });
}

async function killVm(world: World, index: number): Promise<void> {
  world.fleet.getNode(`n${index}`).process.kill('SIGKILL');
  world.fleet.getBackend(getServerId(world, index)).process.kill('SIGKILL');
  await world.fleet.getNode(`n${index}`).process.ended;
}

async function confirmConflicting(world: World): Promise<void> {
  const {service} = world.serviceSpec;
  const plans = await Promise.all(
    ['n1', 'n2'].map((node, i) =>
      world.fleet.callAdmin(node, 'POST', '/v1/plans', {
        changes: [{kind: 'set-floor', service, floor: i + 1}],
      }),
    ),
  );
  const outcomes = await Promise.allSettled(
    plans.map((plan, i) =>
      world.fleet.callAdmin(
        `n${i + 1}`,
        'POST',
        `/v1/plans/${(plan as {plan: string}).plan}/confirm`,
        {},
      ),
    ),
  );
  world.stepResults.set('confirmations', outcomes);
}

async function setFloor(world: World, floor: number, node: number) {
  const {service} = world.serviceSpec;
  const changes = [{kind: 'set-floor' as const, service, floor}];
  const version = await world.fleet.applyChanges(`n${node}`, changes);
  world.stepResults.set('version', version);
}

async function setFloorOrRecordRefusal(
  world: World,
  floor: number,
  node: number,
) {
  try {
    await setFloor(world, floor, node);
  } catch (error) {
    world.stepResults.set('refusal', String(error));
  }
}

async function waitSeconds(seconds: number): Promise<void> {
  await systemClock.sleep(seconds * 1000);
}

/** Steps that set up a scenario or cause an event. */
export const eventSteps: readonly StepDefinition<World>[] = [
  makeEvent(
    'the service {word} with {int} backend servers, {int} slots each, a floor of {int} and the preset {word}',
    (
      world,
      service: string,
      count: number,
      slots: number,
      floor: number,
      preset: 'careful' | 'prompt',
    ) => world.start({service, count, slots, floor, preset}),
  ),
  makeEvent('callers look up {int} times a second', (world, rate: number) =>
    world.startLoad('GET', rate, false),
  ),
  makeEvent(
    'callers look up {int} times a second through node {int}',
    (world, rate: number, node: number) =>
      world.startLoad('GET', rate, false, [`n${node}`]),
  ),
  makeEvent(
    'callers look up {int} times a second through nodes {int} and {int}',
    (world, rate: number, a: number, b: number) =>
      world.startLoad('GET', rate, false, [`n${a}`, `n${b}`]),
  ),
  makeEvent(
    'callers send {int} instructions a second with idempotency keys through nodes {int} and {int}',
    (world, rate: number, a: number, b: number) =>
      world.startLoad('POST', rate, true, [`n${a}`, `n${b}`]),
  ),
  makeEvent(
    'callers send {int} instructions a second with idempotency keys',
    (world, rate: number) => world.startLoad('POST', rate, true),
  ),
  makeEvent(
    'callers send {int} instructions a second without idempotency keys',
    (world, rate: number) => world.startLoad('POST', rate, false),
  ),
  makeStep<World>('{int} second(s) pass', (_world, seconds: number) =>
    waitSeconds(seconds),
  ),
  makeEvent(
    'backend server {int} turns {word}',
    (world, index: number, mode: string) =>
      world.fleet.setBackendFaults(getServerId(world, index), {mode, share: 1}),
  ),
  makeEvent(
    'backend server {int} turns {word} for {int} percent of requests',
    (world, index: number, mode: string, percent: number) =>
      world.fleet.setBackendFaults(getServerId(world, index), {
        mode,
        share: percent / 100,
      }),
  ),
  makeEvent(
    'all backend servers take {int} ms longer',
    async (world, slowMs: number) => {
      for (const id of world.fleet.backends.keys()) {
        await world.fleet.setBackendFaults(id, {mode: 'slow', slowMs});
      }
    },
  ),
  makeEvent('all backend servers turn {word}', async (world, mode: string) => {
    for (const id of world.fleet.backends.keys()) {
      await world.fleet.setBackendFaults(id, {mode, share: 1});
    }
  }),
  makeEvent('backend server {int} recovers', (world, index: number) =>
    world.fleet.setBackendFaults(getServerId(world, index), {mode: 'healthy'}),
  ),
  makeEvent('backend server {int} is killed', (world, index: number) =>
    world.fleet.getBackend(getServerId(world, index)).process.kill('SIGKILL'),
  ),
  makeEvent('backend server {int} is restarted', (world, index: number) =>
    world.fleet.restartBackend(getServerId(world, index)),
  ),
  makeEvent('backend server {int} starts to drain', (world, index: number) =>
    world.fleet.drainBackend(getServerId(world, index)),
  ),
  makeEvent('node {int} is killed', (world, index: number) =>
    world.fleet.getNode(`n${index}`).process.kill('SIGKILL'),
  ),
  makeEvent('node {int} is frozen', (world, index: number) =>
    world.fleet.getNode(`n${index}`).process.kill('SIGSTOP'),
  ),
  makeEvent('node {int} resumes', (world, index: number) =>
    world.fleet.getNode(`n${index}`).process.kill('SIGCONT'),
  ),
  makeEvent('node {int} starts again', (world, index: number) =>
    world.fleet.startNode(`n${index}`),
  ),
  makeEvent('nothing else happens', () => undefined),
  makeEvent(
    'node {int} is stopped gracefully',
    async (world, index: number) => {
      const {process} = world.fleet.getNode(`n${index}`);
      process.kill('SIGTERM');
      world.stepResults.set('exit code', await process.ended);
    },
  ),
  makeEvent('VM {int} is killed', killVm),
  makeEvent('VM {int} is replaced', async (world, index: number) => {
    await killVm(world, index);
    await world.fleet.startNode(`n${index}`);
    await world.fleet.restartBackend(getServerId(world, index));
  }),
  makeEvent('the log service is down', world =>
    world.fleet.setLogFaults({down: true}),
  ),
  makeEvent('the log service is up', world =>
    world.fleet.setLogFaults({down: false, delayMs: 0}),
  ),
  makeEvent(
    'the log service answers after {int} ms',
    (world, delayMs: number) => world.fleet.setLogFaults({delayMs}),
  ),
  makeEvent(
    'the log service loses the replies of the next {int} append(s)',
    (world, loseReplies: number) => world.fleet.setLogFaults({loseReplies}),
  ),
  makeEvent(
    'node {int} cannot send to node {int}',
    (world, from: number, to: number) =>
      world.fleet.cutLink(`n${from}`, `n${to}`),
  ),
  makeEvent('node {int} cannot send to any node', (world, from: number) => {
    for (const id of world.fleet.nodes.keys()) {
      if (id !== `n${from}`) world.fleet.cutLink(`n${from}`, id);
    }
  }),
  makeEvent('node {int} is cut off from all nodes', (world, index: number) => {
    for (const id of world.fleet.nodes.keys()) {
      if (id === `n${index}`) continue;
      world.fleet.cutLink(`n${index}`, id);
      world.fleet.cutLink(id, `n${index}`);
    }
  }),
  makeEvent('the links heal', world => world.fleet.healLinks()),
  makeEvent(
    'the operator sets the floor to {int} through node {int}',
    (world, floor: number, node: number) => setFloor(world, floor, node),
  ),
  makeEvent(
    'the operator tries to set the floor to {int} through node {int}',
    (world, floor: number, node: number) =>
      setFloorOrRecordRefusal(world, floor, node),
  ),
  makeEvent(
    'the operator retires backend server {int}',
    (world, index: number) =>
      world.fleet.applyChanges('n1', [
        {
          kind: 'retire-server',
          server: getServerId(world, index),
          service: world.serviceSpec.service,
        },
      ]),
  ),
  makeEvent(
    'two operators confirm conflicting plans at the same moment',
    confirmConflicting,
  ),
];
