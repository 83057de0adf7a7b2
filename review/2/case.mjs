// A server deregisters at a sidecar that has just been restarted and has not heard a heartbeat of it yet; the sidecar
// acknowledges. A heartbeat that the server had sent before arrives late. The server must get no more work.

import {Backend, bounds, hasTrouble, makeConfig, makeRoute, runCase, sleep} from '../standins/fleet.mjs';

const service = 'beflaggung';
/** How late the last heartbeat before the deregistration arrives. */
const lateMs = 1200;
/** Time that the server serves on after its goodbye; PROTOCOL.md: drain_ms and at times many seconds longer. */
const servesOnMs = 9000;

await runCase(import.meta.url, async fleet => {
  const {recorder} = fleet;
  await fleet.start([service, service, service], makeConfig(7, {auftrag: makeRoute('/auftrag/', 'unsafe', service)}));
  const backends = fleet.vms.map((vm, at) => new Backend(vm, `i-${at + 1}`));
  for (const backend of backends) {
    await backend.start();
    backend.startHeartbeats();
  }
  await sleep(bounds.stableWindowMs);

  let isOpen = true;
  const agentless = fleet.vms.slice(1).map(async vm => {
    const calls = [];
    while (isOpen) {
      calls.push(fleet.send(vm, '/auftrag/x', {method: 'POST', body: 'halbmast'}));
      await sleep(150);
    }
    await Promise.all(calls);
  });
  await sleep(2000);

  const [vm] = fleet.vms;
  const [leaving] = backends;
  // The node is stopped and started on its own, while the server next to it goes on running.
  leaving.stopHeartbeats();
  if (hasTrouble) {
    await vm.end('SIGTERM');
    vm.startProcess();
    await vm.waitUntilReady();
  }
  // Between two heartbeats: one was sent and is late, the next one is not due; the server says goodbye.
  const late = leaving.makeHeartbeat();
  recorder.write(`${leaving.id} sends heartbeat ${late.sequence}, which will arrive ${lateMs} ms late`);
  const arrival = hasTrouble ? sleep(lateMs).then(() => leaving.sendHeartbeat(late, '(late)')) : leaving.sendHeartbeat(late, '(in time)');
  await sleep(200);
  const acknowledged = await leaving.deregister();
  const acknowledgedAt = recorder.now();
  if (acknowledged !== 200) throw new Error(`the deregistration got ${acknowledged}`);
  await arrival;
  await sleep(servesOnMs);
  isOpen = false;
  await Promise.all(agentless);

  // A restarted machine is in touch again after the stable window; by then the bound after the goodbye has passed, too.
  const boundAt = acknowledgedAt + Math.max(bounds.drainMs, bounds.stableWindowMs);
  const sentAt = new Map(fleet.answers.map(call => [call.id, call.sentAt]));
  return leaving.runs
    .filter(({id, at}) => at > boundAt && sentAt.has(id))
    .map(({id, at}) => `DRAIN: ${id} reaches ${leaving.id} ${Math.round(at - acknowledgedAt)} ms after its deregistration was acknowledged`);
});
