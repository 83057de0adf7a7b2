// Stand-ins for the platform, backend servers and clients, and the start of the real sidecar processes.
// Uses only Node.js; every address is a loopback address.

import {spawn} from 'node:child_process';
import {appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';

export const root = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));
export const hasTrouble = process.env.TROUBLE !== '0';

/** Bounds of the small site bdo-fescue. */
export const bounds = {
  stableWindowMs: 3000,
  drainMs: 2000,
  graceS: 6,
  configApplyMs: 2000,
  memoryMb: 350,
  heartbeatMs: 1500,
};

/** Ends a case that could not run. */
export class CannotRunError extends Error {}

/** Record of what was sent, answered and run, in record.txt beside the script. */
class Recorder {
  constructor(folder) {
    this.path = join(folder, 'record.txt');
    this.startedAt = performance.now();
    writeFileSync(this.path, '');
  }

  now() {
    return performance.now() - this.startedAt;
  }

  write(text) {
    const line = `${(this.now() / 1000).toFixed(3)} ${text}`;
    appendFileSync(this.path, `${line}\n`);
  }
}

/** Store of the platform: keyed topics with listings, appends and long polls. */
class Store {
  constructor() {
    this.topics = new Map();
    this.waiting = new Set();
    this.server = http.createServer((request, response) => {
      const chunks = [];
      request.on('data', chunk => chunks.push(chunk));
      request.on('end', () => {
        const url = new URL(request.url, 'http://store');
        response.setHeader('store-era', '0');
        this.answer(url, Buffer.concat(chunks), response);
      });
    });
  }

  async start(host) {
    await new Promise(resolve => this.server.listen(0, host, resolve));
    this.address = `${host}:${this.server.address().port}`;
  }

  getRecords(topic) {
    if (!this.topics.has(topic)) this.topics.set(topic, []);
    return this.topics.get(topic);
  }

  write(topic, key, value) {
    this.getRecords(topic).push({key, value});
    for (const wake of [...this.waiting]) wake();
  }

  writeConfig(document) {
    this.write('keyed.op', 'config', Buffer.from(JSON.stringify(document)));
  }

  answer(url, body, response) {
    const topic = url.searchParams.get('topic') ?? '';
    const records = this.getRecords(topic);
    if (url.pathname === '/api/log-append') {
      const offset = records.length;
      for (let at = 0; at + 4 <= body.length; ) {
        const length = body.readUInt32BE(at);
        const record = body.subarray(at + 4, at + 4 + length);
        const key = record.toString('utf8', 1, 1 + record[0]);
        this.write(topic, key, Buffer.from(record.subarray(1 + record[0])));
        at += 4 + length;
      }
      response.end(JSON.stringify({offset, end: records.length}));
    } else if (url.pathname === '/api/log-newest') {
      const newest = new Map();
      records.forEach(({key, value}, offset) => newest.set(key, {key, value: value.toString('base64'), offset}));
      const items = [...newest.values()].filter(({value}) => value !== '');
      response.end(JSON.stringify({items, more: false, end: records.length}));
    } else if (url.pathname === '/api/log-read') {
      this.answerRead(records, url.searchParams, response);
    } else {
      response.writeHead(404).end();
    }
  }

  answerRead(records, query, response) {
    const from = Number(query.get('from'));
    if (from > records.length) {
      response.writeHead(410).end(JSON.stringify({first: 0}));
      return;
    }
    const send = () => {
      clearTimeout(timer);
      this.waiting.delete(wake);
      const head = Buffer.alloc(16);
      head.writeBigUInt64BE(BigInt(records.length), 0);
      const parts = records.slice(from).map(({key, value}) => {
        const keyBytes = Buffer.from(key);
        const prefix = Buffer.alloc(5);
        prefix.writeUInt32BE(1 + keyBytes.length + value.length, 0);
        prefix[4] = keyBytes.length;
        return Buffer.concat([prefix, keyBytes, value]);
      });
      response.end(Buffer.concat([head, ...parts]));
    };
    const wake = () => records.length > from && send();
    const timer = setTimeout(send, Number(query.get('wait_ms') ?? 0));
    if (records.length > from) return send();
    this.waiting.add(wake);
    response.on('close', () => {
      clearTimeout(timer);
      this.waiting.delete(wake);
    });
  }

  stop() {
    this.server.closeAllConnections();
    this.server.close();
  }
}

/** Relay for connections to one address. Those that are open when `silence` is called carry nothing any more, without an end. */
class Relay {
  constructor(target) {
    this.pairs = new Set();
    this.server = net.createServer(near => {
      const far = net.connect(target);
      const pair = {near, far, isSilent: false};
      this.pairs.add(pair);
      for (const [from, to] of [
        [near, far],
        [far, near],
      ]) {
        from.setNoDelay(true);
        from.on('data', bytes => pair.isSilent || to.write(bytes));
        from.on('error', () => undefined);
        // A silent connection does not pass on that one side has closed.
        from.on('close', () => {
          if (!pair.isSilent) to.destroy();
          if (near.destroyed && far.destroyed) this.pairs.delete(pair);
        });
      }
    });
  }

  async start(host, port) {
    await new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
    this.address = `${host}:${this.server.address().port}`;
  }

  silence() {
    for (const pair of this.pairs) pair.isSilent = true;
  }

  stop() {
    for (const {near, far} of this.pairs) {
      near.destroy();
      far.destroy();
    }
    this.server.close();
  }
}

/** Backend server: runs requests, records them, and reports itself to the control address of its VM. */
export class Backend {
  constructor(vm, id, options = {}) {
    Object.assign(this, {vm, id, state: 'ready', slots: 5, workMs: 300, sequence: 0, born: Date.now()}, options);
    this.runs = [];
    this.server = http.createServer((request, response) => this.answer(request, response));
  }

  async start() {
    const {host, appPort} = this.vm;
    await new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(appPort, host, resolve);
    });
  }

  /** Sends a heartbeat every heartbeat_ms; those sent while `lateMs` is set arrive that much later. */
  startHeartbeats() {
    const beat = () => {
      const heartbeat = this.makeHeartbeat();
      this.lastSentAt = this.vm.recorder.now();
      if (!this.lateMs) return void this.sendHeartbeat(heartbeat);
      this.vm.recorder.write(`${this.id} sends heartbeat ${heartbeat.sequence}, which will arrive ${this.lateMs} ms late`);
      this.lateArrival = sleep(this.lateMs).then(() => this.sendHeartbeat(heartbeat, '(late)'));
    };
    beat();
    this.timer = setInterval(beat, bounds.heartbeatMs);
  }

  stopHeartbeats() {
    clearInterval(this.timer);
  }

  /** Makes a heartbeat with the next sequence, to be sent now or late. */
  makeHeartbeat(state = this.state) {
    this.sequence += 1;
    return {
      service: this.vm.service,
      address: `${this.vm.host}:${this.vm.appPort}`,
      zone: this.vm.zone,
      version: 'v1',
      slots: this.slots,
      state,
      warmup_left_ms: 0,
      sequence: this.sequence,
      born: this.born,
    };
  }

  sendHeartbeat(body = this.makeHeartbeat(), note = '') {
    return this.callControl('instances.heartbeat', body, note);
  }

  deregister() {
    return this.callControl('instances.deregister', {born: this.born}, '');
  }

  /** Calls the control address; returns the status, or undefined without an answer within a second. */
  callControl(call, body, note) {
    const {host, controlPort, recorder} = this.vm;
    return new Promise(resolve => {
      const end = status => {
        if (note || call !== 'instances.heartbeat') {
          recorder.write(`${this.id} ${call} ${JSON.stringify(body)} ${note} -> ${status ?? 'no answer'}`);
        }
        resolve(status);
      };
      const request = http.request(
        {host, port: controlPort, method: 'POST', path: `/api/rpc?call=${call}&of=${this.id}`, agent: false, timeout: 1000, headers: {'content-type': 'application/json'}},
        response => {
          response.resume();
          response.on('end', () => end(response.statusCode));
          response.on('error', () => end(undefined));
        },
      );
      request.on('timeout', () => request.destroy());
      request.on('error', () => end(undefined));
      request.end(JSON.stringify(body));
    });
  }

  answer(request, response) {
    const id = request.headers['x-request-id'];
    const expected = request.headers['x-expected-instance'];
    if (request.url === '/healthz') {
      response.writeHead(this.state === 'ready' ? 200 : 503, {'x-instance-id': this.id}).end();
      return;
    }
    const chunks = [];
    request.on('data', chunk => chunks.push(chunk));
    request.on('error', () => undefined);
    request.on('end', () => {
      if (expected !== undefined && expected !== this.id) {
        this.vm.recorder.write(`${this.id} rejects ${id} with 421`);
        response.writeHead(421, {'x-request-id': id, 'x-instance-id': this.id, 'x-not-executed': '1'}).end();
        return;
      }
      this.runs.push({id, path: request.url, at: this.vm.recorder.now()});
      this.vm.recorder.write(`${this.id} runs ${id} ${request.method} ${request.url}`);
      setTimeout(() => this.finish(id, request, response), this.getWorkMs(request.url));
    });
  }

  getWorkMs() {
    return this.workMs;
  }

  makeHeaders(id, body) {
    return {'x-request-id': id, 'x-response-signature': `sig.${this.id}.${id}`, 'content-length': Buffer.byteLength(body)};
  }

  /** Answers a run; cases replace it for servers in trouble. */
  finish(id, _request, response) {
    const body = `body of ${id} by ${this.id}`;
    response.writeHead(200, this.makeHeaders(id, body));
    response.end(body);
  }

  stop() {
    this.stopHeartbeats();
    this.server.closeAllConnections();
    this.server.close();
  }
}

/** One VM: its addresses and the process of its sidecar. */
class Vm {
  constructor(fleet, index, service, zone) {
    Object.assign(this, {fleet, index, service, zone, recorder: fleet.recorder});
    this.name = `sidecar-${zone}-${index}`;
    this.host = `${fleet.subnet}.${index}`;
    [this.appPort, this.outboundPort, this.readyPort, this.controlPort, this.linkPort] = [0, 1, 2, 3, 4].map(n => fleet.basePort + n);
    this.exits = [];
  }

  startProcess() {
    const {fleet, host, name} = this;
    const path = join(fleet.folder, `${name}.toml`);
    writeFileSync(path, this.renderSettings());
    const [program, ...args] = fleet.runCommand;
    if (this.linkRelay) args.push('--link-address', this.linkRelay.address);
    const {PATH, HOME} = process.env;
    const child = spawn(program, args, {
      cwd: root,
      env: {PATH, HOME, FESCUEWHEEL_CONFIG: path},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.child = child;
    this.isExpectedToRun = true;
    this.log = '';
    let errors = '';
    child.stdout.on('data', data => (this.log += data));
    child.stderr.on('data', data => (errors += data));
    this.ended = new Promise(resolve =>
      child.once('exit', (code, signal) => {
        const wasExpected = !this.isExpectedToRun;
        this.exits.push({code, signal, wasExpected, errors});
        this.recorder.write(
          `process of ${name} ends: code ${code}, signal ${signal}${wasExpected ? '' : ', by itself'}${wasExpected ? '' : `; stderr: ${errors.trim().split('\n').filter(line => /Error|throw|code:/.test(line)).slice(0, 4).join(' | ')}`}`,
        );
        resolve();
      }),
    );
    this.recorder.write(`process of ${name} starts, pid ${child.pid}, ${host}`);
  }

  /** Sends a signal that ends the process, and waits for its end. */
  async end(signal) {
    this.isExpectedToRun = false;
    this.recorder.write(`${signal} to ${this.name}`);
    this.child.kill(signal);
    await this.ended;
  }

  renderSettings() {
    const {fleet, host, name, zone, service} = this;
    return `
[self]
node = "${name}"
role = "fescuewheel-sidecar"
machine_class = "sidecar"
serves = ["sidecar"]
ip = "${host}"
zone = "${zone}"
region = "ostregion"
in_failure_budget = false
first_start = true
app_addr = "${host}:${this.appPort}"
service = "${service}"
[self.limits]
cpu_share = 0.54
cores = 1
memory_mb = ${bounds.memoryMb}
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[network]
internal_ports = [${this.linkPort},${this.linkPort + 15}]
seeds = []
[network.listen]
inbound = "${host}:${this.linkPort + 16}"
outbound = "${host}:${this.outboundPort}"
ready = "${host}:${this.readyPort}"
control = "${host}:${this.controlPort}"
[network.zones]
wien-nord = "ostregion"
wien-sued = "ostregion"
noe-tulln = "ostregion"
[platform]
discovery = "static"
entry = "static"
heartbeat_ms = ${bounds.heartbeatMs}
[platform.platform]
address = "${fleet.storeAddress}"
form = "log"
writes_per_s = 400
reads_per_s = 2000
[terms]
contracts = ["base","drain","config","cost","retry","recover","health","platform"]
[terms.bounds]
stable_window_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 6
config_apply_ms = 2000
budget_ratio = 0.2
budget_window_s = 10
budget_extra = 58
`;
  }

  /** Status of the readiness check; undefined without an answer. */
  async getReadiness() {
    return new Promise(resolve => {
      const request = http.get({host: this.host, port: this.readyPort, path: '/api/readyz', agent: false, timeout: 1000}, response => {
        response.resume();
        resolve(response.statusCode);
      });
      request.on('timeout', () => request.destroy());
      request.on('error', () => resolve(undefined));
    });
  }

  async waitUntilReady(timeoutMs = 15_000) {
    const end = this.recorder.now() + timeoutMs;
    while ((await this.getReadiness()) !== 200) {
      if (this.recorder.now() > end) throw new CannotRunError(`${this.name} does not become ready`);
      await sleep(50);
    }
    this.recorder.write(`${this.name} is ready`);
  }
}

/** A small fleet with its platform. */
export class Fleet {
  constructor(folder) {
    this.recorder = new Recorder(folder);
    this.store = new Store();
    this.vms = [];
    this.requests = 0;
    this.answers = [];
    this.relays = [];
  }

  /** Starts a VM for each of the services; `hasRelays` puts relays before the store and the link ports. */
  async start(services, config, hasRelays = false) {
    const text = readFileSync(join(root, 'deploy', 'system.toml'), 'utf8');
    this.runCommand = /^run = "(.*)"$/m.exec(text)[1].split(' ');
    this.folder = mkdtempSync(join(tmpdir(), 'review-'));
    await this.chooseAddresses();
    await this.store.start(`${this.subnet}.200`);
    this.store.writeConfig(config);
    const zones = ['wien-nord', 'wien-sued', 'noe-tulln'];
    services.forEach((service, at) => this.vms.push(new Vm(this, at + 1, service, zones[at % zones.length])));
    this.storeAddress = this.store.address;
    if (hasRelays) await this.startRelays();
    for (const vm of this.vms) vm.startProcess();
    await Promise.all(this.vms.map(vm => vm.waitUntilReady()));
  }

  async startRelays() {
    const [host, port] = this.store.address.split(':');
    const storeRelay = new Relay({host, port: Number(port)});
    await storeRelay.start(host, 0);
    this.storeAddress = storeRelay.address;
    this.relays.push(storeRelay);
    for (const vm of this.vms) {
      vm.linkRelay = new Relay({host: vm.host, port: vm.linkPort, localAddress: vm.host});
      await vm.linkRelay.start(vm.host, vm.linkPort + 1);
      this.relays.push(vm.linkRelay);
    }
  }

  /** Makes all open connections between the sidecars and to the store silent for good; new ones work. */
  silenceOpenConnections() {
    this.recorder.write(`${this.relays.reduce((sum, {pairs}) => sum + pairs.size, 0)} open connections go silent`);
    for (const relay of this.relays) relay.silence();
  }

  /** Chooses a loopback network and ports that are free on it. */
  async chooseAddresses() {
    for (let tries = 0; tries < 50; tries += 1) {
      const draw = most => Math.floor(Math.random() * most);
      this.subnet = `127.${20 + draw(200)}.${draw(250)}`;
      this.basePort = 11_000 + draw(200) * 100;
      const ports = [0, 1, 2, 3, 4].map(n => this.basePort + n).concat(9464);
      const free = await Promise.all(ports.map(port => canListen(`${this.subnet}.1`, port)));
      if (free.every(isFree => isFree)) return;
    }
    throw new CannotRunError('no free ports');
  }

  /** Sends one request of a client to the entry of a VM; resolves with what the client saw. */
  send(vm, path, {method = 'GET', body, deadlineMs = 4000, host = 'h.example', agent, headers = {}, onSocket} = {}) {
    this.requests += 1;
    const id = `q${String(this.requests).padStart(5, '0')}`;
    const sentAt = this.recorder.now();
    const call = {id, vm, path, method, sentAt};
    return new Promise(resolve => {
      const finish = answer => {
        if (call.isDone) return;
        call.isDone = true;
        clearTimeout(timer);
        Object.assign(call, answer, {tookMs: this.recorder.now() - sentAt});
        this.answers.push(call);
        const size = call.body === undefined ? '' : ` ${call.body.length} bytes`;
        this.recorder.write(`${id} ${method} ${path} at ${vm.name}, sent ${(sentAt / 1000).toFixed(3)} -> ${call.status ?? call.error}${size}`);
        resolve(call);
      };
      const request = http.request(
        {host: vm.host, port: vm.outboundPort, method, path, agent: agent ?? false, headers: {host, 'x-request-id': id, 'x-deadline-ms': String(deadlineMs), ...headers}},
        response => {
          const chunks = [];
          response.on('data', chunk => chunks.push(chunk));
          response.on('end', () => finish({status: response.statusCode, headers: response.headers, body: Buffer.concat(chunks), isComplete: response.complete}));
          response.on('error', error => finish({error: `broken: ${error.code}`, begunStatus: response.statusCode}));
        },
      );
      const timer = setTimeout(() => {
        request.destroy();
        finish({error: 'no answer until the deadline'});
      }, deadlineMs);
      request.on('socket', socket => onSocket?.(socket));
      request.on('error', error => finish({error: `closed: ${error.code}`}));
      request.end(body);
    });
  }

  async close() {
    await Promise.all(
      this.vms.map(async vm => {
        if (!vm.child || vm.child.exitCode !== null || vm.child.signalCode !== null) return;
        vm.child.kill('SIGCONT');
        await vm.end('SIGKILL');
      }),
    );
    for (const relay of this.relays) relay.stop();
    this.store.stop();
    rmSync(this.folder, {recursive: true, force: true});
  }
}

const memoryCheckMs = 20;
const restartDelayMs = 500;

/** Kills a process over the memory limit, as the platform does, and starts it again after a short delay. */
export function watchMemory(vm, state) {
  const timer = setInterval(() => {
    let rssMb = 0;
    try {
      rssMb = Number(/VmRSS:\s+(\d+)/.exec(readFileSync(`/proc/${vm.child.pid}/status`, 'utf8'))?.[1] ?? 0) / 1024;
    } catch {
      return;
    }
    state.peakMb = Math.max(state.peakMb ?? 0, rssMb);
    if (rssMb <= bounds.memoryMb || state.isRestarting) return;
    state.isRestarting = true;
    state.ends = (state.ends ?? 0) + 1;
    vm.recorder.write(`${vm.name} has ${Math.round(rssMb)} MB, over memory_mb ${bounds.memoryMb}: killed by the platform`);
    void vm.end('SIGKILL').then(async () => {
      await sleep(restartDelayMs);
      if (state.isStopped) return;
      vm.startProcess();
      state.startedAt = vm.recorder.now();
      state.isRestarting = false;
    });
  }, memoryCheckMs);
  return () => {
    state.isStopped = true;
    clearInterval(timer);
  };
}

/** Requests on kept connections that sound servers ran and whose connection was closed without an answer. */
export function listLost(fleet, soundBackends) {
  const ran = new Set(soundBackends.flatMap(({runs}) => runs.map(({id}) => id)));
  const lost = fleet.answers.filter(({id, error, isKept}) => isKept && error?.startsWith('closed') && ran.has(id));
  for (const {id, vm, error} of lost) fleet.recorder.write(`lost: ${id} at ${vm.name}, run by a sound server, ${error}`);
  return lost;
}

function canListen(host, port) {
  return new Promise(resolve => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** Makes a configuration with routes to the services of the small site bdo-fescue. */
export function makeConfig(version, routes) {
  const services = [...new Set(Object.values(routes).flatMap(({service, weighted_services: parts}) => (service ? [service] : parts.map(part => part.service))))];
  return {
    version: `r${version}`,
    routes,
    services: Object.fromEntries(services.map(name => [name, {health_path: '/healthz', max_connections: 330, protocol: 'h1', tls: false}])),
    limits: {max_header_bytes: 16384, max_body_bytes: 67108864, header_timeout_ms: 3000, idle_timeout_ms: 15000},
  };
}

export function makeRoute(prefix, type, service, changes = {}) {
  return {host: 'h.example', path_prefix: prefix, route_type: type, timeout_ms: 4000, target_latency_ms: 1500, priority: 1, max_attempts: 2, service, ...changes};
}

/** Runs a case; `run` returns the violations that it saw. Exits with 1 if there are any, 0 if none, 2 if it could not run. */
export async function runCase(url, run) {
  const fleet = new Fleet(dirname(fileURLToPath(url)));
  const {recorder} = fleet;
  for (const signal of ['SIGTERM', 'SIGINT']) {
    process.on(signal, () => void fleet.close().then(() => process.exit(2)));
  }
  recorder.write(`case starts, ${hasTrouble ? 'with' : 'without'} the disruption`);
  let code;
  try {
    const violations = await run(fleet);
    for (const text of violations) recorder.write(`VIOLATION ${text}`);
    recorder.write(violations.length > 0 ? 'the rule was broken' : 'the rule held');
    code = violations.length > 0 ? 1 : 0;
    for (const text of violations.slice(0, 5)) console.log(text);
  } catch (error) {
    recorder.write(`could not run: ${error.stack}`);
    console.log(`could not run: ${error.message}`);
    code = 2;
  }
  await fleet.close();
  process.exit(code);
}
