import {setMaxListeners} from 'node:events';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {request} from 'undici';
import {
  asId,
  Millis,
  NodeId,
  openSilentLogger,
  systemClock,
} from '../base/index.js';
import {createLogClient, LogClient} from '../logservice/index.js';
import {
  BatchOptions,
  defaultBatchOptions,
  KeyArbiter,
  KeyClient,
  KeyStreamReader,
  KeyTable,
  makeClaimId,
  makeKeyId,
  makeRequestFingerprint,
} from '../once/index.js';
import {RunningProcess, startProcess} from '../testing/index.js';

// Measures the cost of claims on idempotency keys, and prints the figures of docs/keys.md. Node calls are made within the
// process, so no figure includes the network hop to an arbiter.

const windowMs: Millis = 7_200_000;
const partitions = 32;
/** 1% of the 39,000 requests/s of docs/design.md, section 1.4. */
const ratePerSecond = 390;
const warmUpMs: Millis = 2000;
const loadMs: Millis = 10_000;
const unbatchedOptions: BatchOptions = {
  minIntervalMs: 0,
  lingerMs: 0,
  maxRecords: 1,
};
const outcome = {
  status: 201,
  contentType: 'application/json',
  body: Buffer.from('x'.repeat(200)).toString('base64'),
};
const fingerprint = makeRequestFingerprint(
  'POST',
  '/log',
  Buffer.from('passed'),
);

interface LogServiceProcess {
  readonly url: string;
  readonly process: RunningProcess;
}

async function startLogService(): Promise<LogServiceProcess> {
  const child = startProcess('standins/main.js', ['log']);
  const line = await child.waitForLine(text => text.includes('"listening"'));
  const {listening} = JSON.parse(line) as {listening: number};
  return {url: `http://127.0.0.1:${listening}`, process: child};
}

async function setLogDelay(
  log: LogServiceProcess,
  delayMs: Millis,
): Promise<void> {
  const answer = await request(`${log.url}/faults`, {
    method: 'POST',
    headers: {'content-type': 'application/json'},
    body: JSON.stringify({delayMs}),
  });
  await answer.body.dump();
}

async function countAppends(log: LogServiceProcess): Promise<number> {
  const answer = await request(`${log.url}/stats`);
  return ((await answer.body.json()) as {appends: number}).appends;
}

function createClient(url: string): LogClient {
  return createLogClient({url, timeoutMs: 2000, connections: 128});
}

interface Fleet {
  readonly clients: readonly KeyClient[];
  stop(): Promise<void>;
}

function startFleet(url: string, count: number, batch: BatchOptions): Fleet {
  const stop = new AbortController();
  setMaxListeners(0, stop.signal);
  const logger = openSilentLogger();
  const nodes = Array.from({length: count}, (_, i) => ({
    node: asId<NodeId>(`n${i}`),
    dataAddress: `n${i}`,
  }));
  const logs = nodes.map(() => createClient(url));
  const arbiters = new Map<string, KeyArbiter>();
  const clients = nodes.map(({node}, i) => {
    const settings = {node, windowMs, partitions, listNodes: () => nodes};
    const arbiter = new KeyArbiter(
      {...settings, batch},
      logs[i],
      systemClock,
      logger,
    );
    arbiters.set(node, arbiter);
    void arbiter.run(stop.signal);
    const call = async (address: string, name: string, body: unknown) => {
      const arbiterAtAddress = arbiters.get(address)!;
      if (name === 'keys-claim') return arbiterAtAddress.claim(body as never);
      await arbiterAtAddress.recordResolution(body as never);
      return {recorded: true, reason: ''};
    };
    const context = {...settings, arbiter, calls: {call}, callTimeoutMs: 2500};
    const client = new KeyClient(context, systemClock, logger);
    void client.run(stop.signal);
    return client;
  });
  return {
    clients,
    stop: async () => {
      stop.abort();
      await Promise.all(logs.map(log => log.close()));
    },
  };
}

function formatQuantile(values: readonly number[], share: number): string {
  const sorted = [...values].sort((a, b) => a - b);
  const index = Math.min(sorted.length - 1, Math.floor(sorted.length * share));
  return `${(sorted[index] ?? NaN).toFixed(1)} ms`;
}

async function runKeyedRequest(client: KeyClient): Promise<Millis> {
  const startedAt = systemClock.getTime();
  const key = makeKeyId(asId('crew'), asId('bench-log'), makeClaimId());
  const decision = await client.claim(key, fingerprint, startedAt + 5000);
  if (decision.kind !== 'held')
    throw new Error(`claim of a new key: ${decision.kind}`);
  const tookMs = systemClock.getTime() - startedAt;
  decision.held.recordOutcome(outcome);
  return tookMs;
}

async function runLoad(fleet: Fleet, lengthMs: Millis): Promise<Millis[]> {
  const startedAt = systemClock.getTime();
  const requests: Promise<Millis>[] = [];
  for (;;) {
    const elapsedMs = systemClock.getTime() - startedAt;
    if (elapsedMs >= lengthMs) return Promise.all(requests);
    while (requests.length < (elapsedMs / 1000) * ratePerSecond) {
      const client = fleet.clients[requests.length % fleet.clients.length];
      requests.push(runKeyedRequest(client));
    }
    await systemClock.sleep(2);
  }
}

async function measureSequentialClaims(delayMs: Millis): Promise<void> {
  const log = await startLogService();
  const fleet = startFleet(log.url, 1, defaultBatchOptions);
  await runKeyedRequest(fleet.clients[0]);
  await setLogDelay(log, delayMs);
  await systemClock.sleep(warmUpMs);
  const times: Millis[] = [];
  for (let i = 0; i < 200; i += 1) {
    times.push(await runKeyedRequest(fleet.clients[0]));
  }
  console.log(
    `claims one by one, log delay ${delayMs} ms: p50 ${formatQuantile(times, 0.5)}, p99 ${formatQuantile(times, 0.99)}`,
  );
  await fleet.stop();
  log.process.kill('SIGKILL');
}

async function measureLoad(
  name: string,
  batch: BatchOptions,
  delayMs: Millis,
  arbiters: number,
): Promise<void> {
  const log = await startLogService();
  await setLogDelay(log, delayMs);
  const fleet = startFleet(log.url, arbiters, batch);
  await runLoad(fleet, warmUpMs);
  const before = await countAppends(log);
  const cpu = process.cpuUsage();
  const times = await runLoad(fleet, loadMs);
  const {user, system} = process.cpuUsage(cpu);
  const appends = (await countAppends(log)) - before;
  const corePercent = (user + system) / 10 / loadMs / arbiters;
  console.log(
    `${ratePerSecond} keyed requests/s, ${arbiters} arbiters, ${partitions} partitions, ${name}, log delay ${delayMs} ms: ` +
      `${((appends * 1000) / loadMs).toFixed(0)} appends/s, claim p50 ${formatQuantile(times, 0.5)}, ` +
      `p99 ${formatQuantile(times, 0.99)}, ${corePercent.toFixed(1)}% of a core each`,
  );
  await fleet.stop();
  log.process.kill('SIGKILL');
}

function measureMemory(): void {
  setFlagsFromString('--expose-gc');
  const collectGarbage = runInNewContext('gc') as () => void;
  const count = 100_000;
  const table = new KeyTable(windowMs, -Infinity);
  collectGarbage();
  const before = process.memoryUsage();
  for (let i = 0; i < count; i += 1) {
    const claim = makeClaimId();
    const key = makeKeyId(asId('crew'), asId('bench-log'), claim);
    applyValue(table, 2 * i, {kind: 'claim', key, claim, print: fingerprint});
    applyValue(table, 2 * i + 1, {kind: 'complete', key, claim, outcome});
  }
  collectGarbage();
  const after = process.memoryUsage();
  const grownBytes =
    after.heapUsed + after.arrayBuffers - before.heapUsed - before.arrayBuffers;
  const bytesPerKey = grownBytes / table.countKeys();
  const keysPerPartition = (ratePerSecond * windowMs) / 1000 / partitions;
  console.log(
    `memory: ${bytesPerKey.toFixed(0)} bytes per key, ${((bytesPerKey * keysPerPartition) / 1e6).toFixed(1)} MB for the ${keysPerPartition} keys of one partition at ${ratePerSecond}/s over the window`,
  );
}

function applyValue(table: KeyTable, offset: number, value: unknown): void {
  // Copies the value as if it had been read from the log, so that it shares no strings with its writer.
  const copy = JSON.parse(JSON.stringify(value));
  table.apply({offset, atMs: 1000 + offset * 0.5, value: copy});
}

async function measureStreamRead(delays: readonly Millis[]): Promise<void> {
  const log = await startLogService();
  const client = createClient(log.url);
  const count = 50_000;
  for (let i = 0; i < count / 2; i += 500) {
    const values = Array.from({length: 500}, () => {
      const claim = makeClaimId();
      const key = makeKeyId(asId('crew'), asId('bench-log'), claim);
      return [
        {kind: 'claim', key, claim, print: fingerprint},
        {kind: 'complete', key, claim, outcome},
      ];
    }).flat();
    await client.append('keys-0', values);
  }
  for (const delayMs of delays) {
    await setLogDelay(log, delayMs);
    const startedAt = systemClock.getTime();
    const cpu = process.cpuUsage();
    const reader = new KeyStreamReader('keys-0', client, windowMs);
    while (!(await reader.readPage(0)).reachedEnd);
    const tookMs = systemClock.getTime() - startedAt;
    const {user, system} = process.cpuUsage(cpu);
    console.log(
      `read back ${count} records (${reader.getTable().countKeys()} keys), log delay ${delayMs} ms: ` +
        `${tookMs.toFixed(0)} ms, ${((user + system) / 1000).toFixed(0)} ms of a core`,
    );
  }
  await client.close();
  log.process.kill('SIGKILL');
}

measureMemory();
await measureStreamRead([0, 5, 20]);
for (const delayMs of [5, 20]) await measureSequentialClaims(delayMs);
for (const delayMs of [5, 20]) {
  await measureLoad('in groups', defaultBatchOptions, delayMs, 8);
  await measureLoad('one record an append', unbatchedOptions, delayMs, 8);
}
await measureLoad('in groups', defaultBatchOptions, 5, partitions);
process.exit(0);
