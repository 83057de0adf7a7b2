import {runInNewContext} from 'node:vm';
import {setFlagsFromString} from 'node:v8';
import {Millis, systemClock} from '../base/index.js';
import {addTraffic, noTraffic, Roster, Traffic} from '../membership/index.js';
import {decodeFrame, encodeRecords} from '../membership/frames.js';
import {
  MembershipNode,
  makeMemoryLog,
  makeNodeRecord,
  planMembershipFleet,
  waitFor,
} from './membership_fleet.js';

// Prints, as one JSON line each, what membership costs at several sizes of fleet, and the straight lines through these
// figures at the stated size. All nodes of a fleet run in this process, so CPU is that of the process divided by the
// number of nodes, and it includes the answers of the data ports to probes.

const sizes = [5, 20, 60];
const statedNodes = 450;
const serversPerNode = 12;
const idleMs: Millis = 30_000;
const settleMs: Millis = 25_000;
const changes = 100;
const changePauseMs: Millis = 200;
const restarts = 6;
const restartsPerDay = 835;
// 5,400 backend servers, each ejected about every fifth day, with about 12 versions for its way back.
const ejectionsPerDay = 1080;
const versionsPerEjection = 12;
const secondsPerDay = 86_400;
/** Bytes of IP, TCP and WebSocket headers of one frame, and of the acknowledgement it costs the other side. */
const frameOverhead = 20 + 32 + 6;
const acknowledgement = 20 + 32;
// One probe each 4 s over each link in each direction: 5 packets with 58 bytes of request as the prober, 4 packets with 70
// bytes of answer as the probed.
const probeBytesPerLink = (5 * 52 + 58 + 4 * 52 + 70) / 4;

interface Snapshot {
  readonly traffic: Traffic;
  readonly cpuMs: number;
  readonly atMs: Millis;
  /** Links of a node on average. */
  readonly links: number;
}

interface Cost {
  readonly sentPerSecond: number;
  readonly cpuPercent: number;
  readonly framesPerSecond: number;
}

function readSnapshot(nodes: readonly MembershipNode[]): Snapshot {
  const {user, system} = process.cpuUsage();
  return {
    traffic: nodes
      .map(node => node.links.getTraffic())
      .reduce(addTraffic, noTraffic),
    cpuMs: (user + system) / 1000,
    atMs: systemClock.getTime(),
    links:
      nodes.reduce(
        (sum, node) => sum + node.links.listLinkedNodes().length,
        0,
      ) / nodes.length,
  };
}

function countWireBytes(traffic: Traffic): number {
  return (
    traffic.sentBytes +
    traffic.sentFrames * frameOverhead +
    traffic.receivedFrames * acknowledgement
  );
}

/** Bytes that one node sends a second, headers and probes included, and its share of a core. */
function computeCost(before: Snapshot, after: Snapshot, nodes: number): Cost {
  const seconds = (after.atMs - before.atMs) / 1000;
  const sent = countWireBytes(after.traffic) - countWireBytes(before.traffic);
  const frames = after.traffic.sentFrames - before.traffic.sentFrames;
  return {
    sentPerSecond: sent / nodes / seconds + after.links * probeBytesPerLink,
    cpuPercent: (after.cpuMs - before.cpuMs) / nodes / seconds / 10,
    framesPerSecond: frames / nodes / seconds,
  };
}

function pickQuantile(values: readonly number[], part: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  const index = Math.ceil(part * sorted.length) - 1;
  return sorted[Math.max(0, index)];
}

/** Value at `x` of the straight line through the points by least squares, and its slope. */
function estimateLine(
  points: readonly (readonly [number, number])[],
  x: number,
) {
  const n = points.length;
  const meanX = points.reduce((sum, [px]) => sum + px, 0) / n;
  const meanY = points.reduce((sum, [, py]) => sum + py, 0) / n;
  const covariance = points.reduce(
    (sum, [px, py]) => sum + (px - meanX) * (py - meanY),
    0,
  );
  const variance = points.reduce((sum, [px]) => sum + (px - meanX) ** 2, 0);
  const slope = covariance / variance;
  return {slope, value: meanY + slope * (x - meanX)};
}

function roundFigures<T extends object>(figures: T): T {
  return JSON.parse(
    JSON.stringify(figures, (_key, value: unknown) =>
      typeof value === 'number' ? Number(value.toPrecision(4)) : value,
    ),
  ) as T;
}

function print(figures: object): void {
  console.log(JSON.stringify(roundFigures(figures)));
}

function hasAll(nodes: readonly MembershipNode[]): boolean {
  return nodes.every(node => node.roster.list().length === nodes.length);
}

async function measureStart(nodes: readonly MembershipNode[]) {
  const before = readSnapshot(nodes);
  await Promise.all(nodes.map(node => node.start()));
  const completeMs = await waitFor('all records everywhere', 120_000, () =>
    hasAll(nodes),
  );
  await systemClock.sleep(5000);
  const after = readSnapshot(nodes);
  const sent = nodes.map(node => countWireBytes(node.links.getTraffic()));
  return {
    completeMs,
    kilobytesSent:
      sent.reduce((sum, bytes) => sum + bytes, 0) / nodes.length / 1000,
    mostKilobytesSent: Math.max(...sent) / 1000,
    cpuMs: (after.cpuMs - before.cpuMs) / nodes.length,
  };
}

/** Makes one change a node at a time and waits until it is known everywhere. */
async function measureChange(
  nodes: readonly MembershipNode[],
  index: number,
): Promise<Millis> {
  const changed = nodes[index % nodes.length];
  changed.drainServer(index % serversPerNode);
  const {node, version} = changed.own.get();
  const start = systemClock.getTime();
  return new Promise(resolve => {
    let missing = 0;
    for (const other of nodes) {
      if (other.roster.get(node)?.version === version) continue;
      missing += 1;
      let isOpen = true;
      other.roster.onMerge(record => {
        if (!isOpen || record.node !== node || record.version < version) return;
        isOpen = false;
        missing -= 1;
        if (missing === 0) resolve(systemClock.getTime() - start);
      });
    }
    if (missing === 0) resolve(0);
  });
}

async function measureChanges(nodes: readonly MembershipNode[], idle: Cost) {
  const before = readSnapshot(nodes);
  const times: Millis[] = [];
  for (let index = 0; index < changes; index += 1) {
    times.push(await measureChange(nodes, index));
    await systemClock.sleep(changePauseMs);
  }
  const after = readSnapshot(nodes);
  const busy = computeCost(before, after, nodes.length);
  const perSecond = changes / ((after.atMs - before.atMs) / 1000);
  return {
    p50Ms: pickQuantile(times, 0.5),
    p99Ms: pickQuantile(times, 0.99),
    bytesPerChange: (busy.sentPerSecond - idle.sentPerSecond) / perSecond,
    cpuMsPerChange: ((busy.cpuPercent - idle.cpuPercent) * 10) / perSecond,
  };
}

/** Stops and starts nodes; gives what one restart costs each node beyond its idle traffic. */
async function measureRestarts(nodes: MembershipNode[], idle: Cost) {
  const log = makeMemoryLog();
  const before = readSnapshot(nodes);
  let retired = noTraffic;
  const times: Millis[] = [];
  for (let index = 0; index < restarts; index += 1) {
    const place = nodes.length - 1 - (index % nodes.length);
    const old = nodes[place];
    old.publish({state: 'leaving'});
    await systemClock.sleep(1000);
    await old.stop();
    retired = addTraffic(retired, old.links.getTraffic());
    const again = new MembershipNode(old.plan, log);
    nodes[place] = again;
    await again.start();
    times.push(
      await waitFor('restarted node complete', 60_000, () => hasAll(nodes)),
    );
    // As on a VM: each of the backend servers is announced as starting, then ready.
    for (let i = 0; i < serversPerNode; i += 1) again.drainServer(i);
    await systemClock.sleep(9000);
  }
  const after = readSnapshot(nodes);
  const traffic = addTraffic(after.traffic, retired);
  const cost = computeCost(before, {...after, traffic}, nodes.length);
  const seconds = (after.atMs - before.atMs) / 1000;
  return {
    bytesPerRestart:
      ((cost.sentPerSecond - idle.sentPerSecond) * seconds) / restarts,
    completeMs: pickQuantile(times, 0.5),
  };
}

async function measureFleet(count: number, network: number) {
  const log = makeMemoryLog();
  const plans = planMembershipFleet(count, network, serversPerNode);
  const nodes = plans.map(plan => new MembershipNode(plan, log));
  const start = await measureStart(nodes);
  await systemClock.sleep(settleMs);
  const before = readSnapshot(nodes);
  await systemClock.sleep(idleMs);
  const settled = readSnapshot(nodes);
  const idle = computeCost(before, settled, count);
  const change = await measureChanges(nodes, idle);
  const restart = await measureRestarts(nodes, idle);
  const ejected = (ejectionsPerDay * versionsPerEjection) / secondsPerDay;
  const perChurn =
    ejected * change.bytesPerChange +
    (restartsPerDay / secondsPerDay) * restart.bytesPerRestart;
  await Promise.all(nodes.map(node => node.stop()));
  return {
    nodes: count,
    links: settled.links,
    idle,
    sentPerSecondWithChurn: idle.sentPerSecond + perChurn,
    change,
    restart,
    start,
  };
}

function measureRoster() {
  setFlagsFromString('--expose-gc');
  const collect = runInNewContext('gc') as () => void;
  const plans = planMembershipFleet(statedNodes, 90, serversPerNode);
  const frames = encodeRecords(
    plans.map(plan => ({ageMs: 0, record: makeNodeRecord(plan, 0)})),
  );
  const rosters: Roster[] = [];
  const mergeMs: number[] = [];
  let longestFrameMs = 0;
  const runs = 10;
  collect();
  const heapBefore = process.memoryUsage().heapUsed;
  for (let run = 0; run < runs; run += 1) {
    const roster = new Roster();
    const startMs = performance.now();
    for (const bytes of frames) {
      const frameStartMs = performance.now();
      const frame = decodeFrame(bytes);
      if (frame._tag === 'Left' || frame.right.kind !== 'records')
        throw new Error('bad frame');
      for (const {record, ageMs} of frame.right.items)
        roster.merge(record, ageMs);
      if (run > 0) {
        longestFrameMs = Math.max(
          longestFrameMs,
          performance.now() - frameStartMs,
        );
      }
    }
    mergeMs.push(performance.now() - startMs);
    rosters.push(roster);
  }
  collect();
  const heap = process.memoryUsage().heapUsed - heapBefore;
  return {
    records: rosters[0].list().length,
    frames: frames.length,
    frameKilobytes: frames.reduce((sum, bytes) => sum + bytes.length, 0) / 1000,
    heapMegabytes: heap / runs / 1e6,
    firstMergeMs: mergeMs[0],
    longestFrameMs,
    medianMergeMs: pickQuantile(mergeMs, 0.5),
  };
}

print({roster: measureRoster()});
const fleets: Awaited<ReturnType<typeof measureFleet>>[] = [];
for (const [index, size] of sizes.entries()) {
  const figures = await measureFleet(size, 91 + index);
  fleets.push(figures);
  print(figures);
}
const estimateAt = (pick: (fleet: (typeof fleets)[number]) => number) =>
  estimateLine(
    fleets.map(fleet => [fleet.nodes, pick(fleet)] as const),
    statedNodes,
  );
print({
  nodes: statedNodes,
  estimated: {
    idleSentPerSecond: estimateAt(fleet => fleet.idle.sentPerSecond),
    sentPerSecondWithChurn: estimateAt(fleet => fleet.sentPerSecondWithChurn),
    cpuPercent: estimateAt(fleet => fleet.idle.cpuPercent),
    bytesPerChange: estimateAt(fleet => fleet.change.bytesPerChange),
    bytesPerRestart: estimateAt(fleet => fleet.restart.bytesPerRestart),
    startKilobytesSent: estimateAt(fleet => fleet.start.kilobytesSent),
    startMostKilobytesSent: estimateAt(fleet => fleet.start.mostKilobytesSent),
    startCpuMs: estimateAt(fleet => fleet.start.cpuMs),
  },
});
