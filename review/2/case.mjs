// A server deregisters at a sidecar that has just been restarted and has not heard a heartbeat of it yet; the sidecar
// acknowledges. A heartbeat that the server had sent before arrives late. The server must get no more work.

import {Backend, bounds, CannotRunError, hasTrouble, makeConfig, makeRoute, runCase, sleep} from '../standins/fleet.mjs';

const service = 'beflaggung';
/** How late the last heartbeat before the deregistration arrives. */
const lateMs = 2000;
/** Time from a heartbeat to SIGTERM; the process serves on for 2.7 s after it and needs about 0.6 s to start. */
const stopAfterHeartbeatMs = 600;
/** Time from the last heartbeat to the deregistration. */
const goodbyeDelayMs = 100;
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
  if (hasTrouble) {
    // The node is stopped and started on its own, while the server next to it goes on running and sending heartbeats. The
    // moment is chosen so that the process before acknowledges one heartbeat and the next is due after the start.
    while (recorder.now() - leaving.lastSentAt < stopAfterHeartbeatMs) await sleep(5);
    await vm.end('SIGTERM');
    vm.startProcess();
    await vm.waitUntilReady();
    leaving.lateMs = lateMs;
  }
  // The next heartbeat is sent, and right after it the server deregisters.
  const before = leaving.sequence;
  if (hasTrouble && recorder.now() - leaving.lastSentAt > bounds.heartbeatMs) throw new CannotRunError('a heartbeat was due during the restart');
  while (leaving.sequence === before) await sleep(5);
  leaving.stopHeartbeats();
  await sleep(goodbyeDelayMs);
  const acknowledged = await leaving.deregister();
  const acknowledgedAt = recorder.now();
  if (acknowledged !== 200) throw new Error(`the deregistration got ${acknowledged}`);
  await leaving.lateArrival;
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
