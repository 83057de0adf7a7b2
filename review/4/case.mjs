// An upstream of hisskalender has crashed, and its address has gone to an upstream of beflaggung, which has registered. The
// sidecar beside it is restarted, and then a heartbeat of the crashed upstream arrives that a partition had delayed. The
// requests of this machine must still bear the service of this machine.

import {Backend, hasTrouble, makeConfig, makeRoute, runCase, sleep} from '../standins/fleet.mjs';

const ownService = 'beflaggung';
const earlierService = 'hisskalender';
const otherService = 'fahnenarchiv';
/** Time from the end of the earlier upstream until its address is given out again; at least addr_reuse_s = 2. */
const addressReuseMs = 2500;
/** Heartbeats of the crashed upstream arrive this long after its successor has registered. */
const loadMs = 4000;

class RecordingBackend extends Backend {
  callers = [];

  finish(id, request, response) {
    this.callers.push({id, caller: request.headers['x-caller-service'], at: this.vm.recorder.now()});
    super.finish(id, request, response);
  }
}

await runCase(import.meta.url, async fleet => {
  const {recorder} = fleet;
  await fleet.start(
    [ownService, otherService, otherService, earlierService],
    makeConfig(7, {
      regel: makeRoute('/regel/', 'safe', otherService),
      auftrag: makeRoute('/auftrag/', 'unsafe', ownService),
      tag: makeRoute('/tag/', 'safe', earlierService),
    }),
  );
  const [vm, second, third, fourth] = fleet.vms;
  const others = [new RecordingBackend(second, 'i-2'), new RecordingBackend(third, 'i-3')];
  const last = new Backend(fourth, 'i-4');
  for (const backend of [...others, last]) {
    await backend.start();
    backend.startHeartbeats();
  }
  // The earlier upstream at this address: its last heartbeat is held up by a partition, behind which it crashes.
  const earlier = new Backend(vm, 'i-0');
  const delayed = {...earlier.makeHeartbeat(), service: earlierService};
  recorder.write(`i-0 of ${earlierService} sends a heartbeat that a partition holds up, and crashes: ${JSON.stringify(delayed)}`);
  await sleep(addressReuseMs);
  const own = new Backend(vm, 'i-1');
  await own.start();
  own.startHeartbeats();
  recorder.write(`i-1 of ${ownService} takes the address`);
  await sleep(4000);

  if (hasTrouble) {
    own.stopHeartbeats();
    await vm.end('SIGTERM');
    vm.startProcess();
    await vm.waitUntilReady();
    await earlier.sendHeartbeat(delayed, '(delayed by the partition)');
    // The successor goes on with its heartbeats; the next one is due within heartbeat_ms.
    setTimeout(() => own.startHeartbeats(), 1000);
  }
  const until = recorder.now() + loadMs;
  while (recorder.now() < until) {
    void fleet.send(vm, '/regel/x');
    await sleep(100);
  }
  await sleep(1000);

  const wrong = others.flatMap(({id: server, callers}) => callers.map(entry => ({...entry, server}))).filter(({caller}) => caller !== ownService);
  const all = others.flatMap(({callers}) => callers);
  recorder.write(`${all.length} requests of ${vm.name} ran, ${wrong.length} with another X-Caller-Service`);
  return wrong.map(({id, server, caller}) => `UNASKED: ${server} runs ${id} with X-Caller-Service ${caller}; the machine where it began belongs to ${ownService}`);
});
