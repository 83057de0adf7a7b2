// One of three servers of a service sends, in 3 of 100 answers, a body without end until the connection is closed. Clients
// read at an ordinary pace. The sidecar at which such a request began must not run out of memory, as that also ends all
// other requests of its clients.

import http from 'node:http';
import {Backend, bounds, hasTrouble, listLost, makeConfig, makeRoute, runCase, sleep, watchMemory} from '../standins/fleet.mjs';

/** Pace at which a client reads, 80 Mbit/s, and at which the server in trouble writes, 0.8 of its link of 1,000 Mbit/s. */
const clientBytesPerMs = 10_000;
const serverBytesPerMs = 100_000;
/** One of this number of answers of the server in trouble has no end; the share x of `garble` in the site file is 0.03. */
const endlessEvery = 34;
const firstEndless = 6;
const runMs = 75_000;
const tickMs = 10;

class TroubledBackend extends Backend {
  answered = 0;
  endless = [];

  finish(id, request, response) {
    this.answered += 1;
    if (!hasTrouble || this.answered % endlessEvery !== firstEndless) {
      return super.finish(id, request, response);
    }
    this.endless.push(id);
    this.vm.recorder.write(`${this.id} begins an answer without end to ${id}`);
    response.writeHead(200, {'x-request-id': id, 'x-response-signature': `sig.${this.id}.${id}`});
    const block = Buffer.alloc(serverBytesPerMs * tickMs, 'x');
    let sent = 0;
    const timer = setInterval(() => {
      if (response.writableNeedDrain) return;
      response.write(block);
      sent += block.length;
    }, tickMs);
    response.on('error', () => undefined);
    response.on('close', () => {
      clearInterval(timer);
      this.vm.recorder.write(`${this.id}: the connection of ${id} was closed after ${Math.round(sent / 1e6)} MB`);
    });
  }
}

/** Sends a request whose answer the client reads at its pace, to the end or its deadline. */
function readAtPace(fleet, vm, path, deadlineMs) {
  fleet.requests += 1;
  const id = `q${String(fleet.requests).padStart(5, '0')}`;
  return new Promise(resolve => {
    let bytes = 0;
    const end = result => {
      clearTimeout(timer);
      fleet.recorder.write(`${id} GET ${path} at ${vm.name} -> ${result}, ${bytes} bytes`);
      resolve();
    };
    const request = http.get(
      {host: vm.host, port: vm.outboundPort, path, agent: false, headers: {host: 'h.example', 'x-request-id': id, 'x-deadline-ms': String(deadlineMs)}},
      response => {
        response.on('data', chunk => {
          bytes += chunk.length;
          response.pause();
          setTimeout(() => response.resume(), chunk.length / clientBytesPerMs);
        });
        response.on('end', () => end(response.statusCode));
        response.on('error', error => end(`${response.statusCode}, broken off: ${error.code}`));
      },
    );
    const timer = setTimeout(() => request.destroy(), deadlineMs);
    request.on('error', error => end(`closed: ${error.code}`));
  });
}

await runCase(import.meta.url, async fleet => {
  const {recorder} = fleet;
  const regel = makeRoute('/regel/', 'safe', 'fahnenarchiv', {timeout_ms: 8000, target_latency_ms: 5000});
  const auftrag = makeRoute('/auftrag/', 'unsafe', 'beflaggung');
  await fleet.start(['fahnenarchiv', 'fahnenarchiv', 'fahnenarchiv', 'beflaggung', 'beflaggung'], makeConfig(7, {regel, auftrag}));
  const backends = fleet.vms.map((vm, at) => new (at === 0 ? TroubledBackend : Backend)(vm, `i-${at + 1}`, {workMs: at < 3 ? 800 : 400}));
  const [troubled] = backends;
  for (const backend of backends) {
    await backend.start();
    backend.startHeartbeats();
  }
  await sleep(bounds.stableWindowMs);

  const states = fleet.vms.map(() => ({}));
  const stops = fleet.vms.map((vm, at) => watchMemory(vm, states[at]));
  const until = recorder.now() + runMs;
  const loops = fleet.vms.flatMap(vm => {
    const agent = new http.Agent({keepAlive: true, maxSockets: 3});
    const file = async () => {
      while (recorder.now() < until) {
        const call = await fleet.send(vm, '/auftrag/x', {method: 'POST', body: 'halbmast', agent, deadlineMs: 4000});
        call.isKept = true;
        await sleep(call.status === 200 ? 100 : 400);
      }
    };
    const look = async () => {
      const calls = [];
      while (recorder.now() < until) {
        calls.push(readAtPace(fleet, vm, '/regel/x', 12_000));
        await sleep(600);
      }
      await Promise.all(calls);
    };
    return [file(), file(), look()];
  });
  await Promise.all(loops);
  for (const stop of stops) stop();
  states.forEach((state, at) => recorder.write(`${fleet.vms[at].name}: peak ${Math.round(state.peakMb)} MB, killed over memory ${state.ends ?? 0} times`));
  recorder.write(`answers without end: ${troubled.endless.length} of ${troubled.answered}`);

  const lost = listLost(fleet, backends.filter(backend => backend !== troubled));
  const violations = [];
  if (lost.length > 3) {
    violations.push(`LOST: ${lost.length} requests on kept connections that sound servers ran ended with a closed connection`);
  }
  const often = states.filter(({ends = 0}) => ends >= 3).length;
  if (often >= 2) violations.push(`Fault: on ${often} of ${states.length} machines the process ended three times over its memory limit`);
  return violations;
});
