// All open connections between the sidecars and to the store go silent, without a reset, while new ones work. When the machines
// are in touch again, the operator adds a route. Each machine must serve it config_apply_ms later.

import {Backend, bounds, CannotRunError, hasTrouble, makeConfig, makeRoute, runCase, sleep} from '../standins/fleet.mjs';

/** Upstreams of the site bdo-fescue. */
const services = [
  ...Array.from({length: 9}, () => 'beflaggung'),
  ...Array.from({length: 6}, () => 'hisskalender'),
  ...Array.from({length: 6}, () => 'fahnenarchiv'),
];
/** Rounds until one breaks the rule; how many machines notice in time depends on when their polls end. */
const rounds = 3;
const settleMs = 12_000;
/** Time in which the sidecars find the silent connections: idle links are pinged every 15 s. */
const healMs = 20_000;
const mostUnknownMs = 12_000;
const marginMs = 100;

await runCase(import.meta.url, async fleet => {
  const routes = {
    auftrag: makeRoute('/auftrag/', 'unsafe', 'beflaggung'),
    tag: makeRoute('/tag/', 'safe', 'hisskalender'),
    regel: makeRoute('/regel/', 'safe', 'fahnenarchiv'),
  };
  await fleet.start(services, makeConfig(7, routes), true);
  const backends = fleet.vms.map((vm, at) => new Backend(vm, `i-${at + 1}`));
  for (const backend of backends) {
    await backend.start();
    backend.startHeartbeats();
  }
  for (let round = 1; round <= rounds; round += 1) {
    await sleep(round === 1 ? settleMs : healMs);
    const before = await Promise.all(fleet.vms.map(vm => fleet.send(vm, '/tag/x')));
    if (before.some(({status}) => status !== 200)) throw new CannotRunError('the fleet does not serve before the disruption');
    await sleep(1500);
    const violations = await changeConfiguration(fleet, routes, round);
    if (violations.length > 0) return violations;
  }
  return [];
});

/** Silences the open connections and adds a route once the machines are in touch again; returns what answers it with 404. */
async function changeConfiguration(fleet, routes, round) {
  const {recorder} = fleet;
  if (hasTrouble) fleet.silenceOpenConnections();
  // Counts as a reset of the connections of all machines: they are in touch again after the stable window.
  await sleep(bounds.stableWindowMs + marginMs);
  const path = `/neu${round}/`;
  routes[`neu${round}`] = makeRoute(path, 'safe', 'hisskalender');
  fleet.store.writeConfig(makeConfig(7 + round, routes));
  const acknowledgedAt = recorder.now();
  recorder.write(`the store has the configuration r${7 + round}, which adds ${path}`);
  await sleep(bounds.configApplyMs + marginMs);
  const sendToAll = () => Promise.all(fleet.vms.map(vm => fleet.send(vm, `${path}x`, {deadlineMs: 3000})));
  const unknown = (await sendToAll()).filter(({status}) => status === 404);
  // Shows for how long the route stays unknown.
  for (let again = unknown; again.length > 0 && recorder.now() - acknowledgedAt < mostUnknownMs; ) {
    await sleep(500);
    again = (await sendToAll()).filter(({status}) => status === 404);
    recorder.write(`${((recorder.now() - acknowledgedAt) / 1000).toFixed(1)} s after the acknowledgement ${again.length} machines answer 404`);
  }
  return unknown.map(
    ({id, vm, sentAt}) => `CONFIG: ${id} on the added route, sent to ${vm.name} ${Math.round(sentAt - acknowledgedAt)} ms after the acknowledgement, is answered 404`,
  );
}
