import {formatLoadSummary} from './summary.js';
import {getServerId, World} from './scenario/index.js';
import {systemClock} from '../base/index.js';

// Demo on a local fleet: a log service, nine backend servers in three data centres with a node on the VM of each, and
// callers. One backend server has a gray failure, then an operator changes the floor of the service.

const world = new World();

function report(text: string): void {
  console.log(`- ${text}`);
}

function formatSeconds(ms: number): string {
  return `${(ms / 1000).toFixed(1)} s`;
}

try {
  report(
    'starting a log service, 9 backend servers of lookup-desk and 9 nodes in tamworth, lichfield, nuneaton',
  );
  await world.start({
    service: 'lookup-desk',
    count: 9,
    slots: 3,
    floor: 6,
    preset: 'prompt',
  });
  report(
    'the configuration was planned and confirmed; all backend servers announced themselves to all nodes',
  );
  world.startLoad('GET', 150, false);
  await systemClock.sleep(4000);
  report('callers look up 150 times a second through all nodes');
  const slowServer = getServerId(world, 4);
  await world.fleet.setBackendFaults(slowServer, {mode: 'slow', slowMs: 800});
  world.markEvent();
  await world.fleet.waitUntil('ejection', 20_000, () =>
    world.isTrueOnAllNodes(status =>
      status.services[0].servers.some(
        ({server, verdict}) =>
          server === slowServer && verdict.kind === 'excluded',
      ),
    ),
  );
  report(
    `${slowServer} turned slow while its health endpoint still reports ok; all nodes had excluded it after ${formatSeconds(systemClock.getTime() - world.lastEventMs)}`,
  );
  const changes = [
    {kind: 'set-floor' as const, service: 'lookup-desk', floor: 5},
  ];
  const plan = (await world.fleet.callAdmin('n3', 'POST', '/v1/plans', {
    changes,
  })) as {plan: string};
  report(
    `an operator planned through n3: floor of lookup-desk 6 -> 5 (plan ${plan.plan})`,
  );
  world.markEvent();
  const {version} = (await world.fleet.callAdmin(
    'n3',
    'POST',
    `/v1/plans/${plan.plan}/confirm`,
    {},
  )) as {version: number};
  await world.fleet.waitUntil('version', 6000, () =>
    world.isTrueOnAllNodes(status => status.version === version),
  );
  report(
    `confirmed; version ${version} was in force on all 9 nodes after ${formatSeconds(systemClock.getTime() - world.lastEventMs)}`,
  );
  await systemClock.sleep(2000);
  const summary = formatLoadSummary(await world.finishLoad());
  report(`callers: ${summary}`);
} finally {
  await world.stop();
}
