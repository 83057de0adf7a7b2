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

// Measures the cost of membership at several fleet sizes, and extrapolates it linearly to the design size. Prints one JSON
// object a line. All nodes of a fleet run in this process, so CPU is that of the process divided by the number of nodes,
// and it includes the responses of the data ports to probes.

const fleetSizes = [5, 20, 60];
const designNodes = 450;
const serversPerNode = 12;
const idleMs: Millis = 30_000;
const settleMs: Millis = 25_000;
const changes = 100;
const changePauseMs: Millis = 200;
const restarts = 6;
const restartsPerDay = 835;
// 5,400 backend servers, each ejected about every fifth day. An ejection and the recovery from it publish about 12
// versions of the node's record.
const ejectionsPerDay = 1080;
const versionsPerEjection = 12;
const secondsPerDay = 86_400;
/** Bytes of IP, TCP and WebSocket headers of one frame, and of the TCP acknowledgement that the receiver sends for it. */
const frameOverheadBytes = 20 + 32 + 6;
const acknowledgementBytes = 20 + 32;
// One probe each 4 s over each link in each direction: the prober sends 5 packets with a request of 58 bytes, the probed
// node 4 packets with a response of 70 bytes.
const probeBytesPerLinkAndSecond = (5 * 52 + 58 + 4 * 52 + 70) / 4;

interface ResourceSnapshot {
  readonly traffic: Traffic;
  readonly cpuMs: number;
  readonly atMs: Millis;
  /** Mean number of links of a node. */
  readonly links: number;
}

interface Cost {
  readonly sentPerSecond: number;
  readonly cpuPercent: number;
  readonly framesPerSecond: number;
}

function readResourceSnapshot(
  nodes: readonly MembershipNode[],
): ResourceSnapshot {
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
    traffic.sentFrames * frameOverheadBytes +
    traffic.receivedFrames * acknowledgementBytes
  );
}

/** Returns the bytes that one node sends a second, including headers and probes, and its share of a core. */
function computeCost(
  before: ResourceSnapshot,
  after: ResourceSnapshot,
  nodes: number,
): Cost {
  const seconds = (after.atMs - before.atMs) / 1000;
  const sent = countWireBytes(after.traffic) - countWireBytes(before.traffic);
  const frames = after.traffic.sentFrames - before.traffic.sentFrames;
  return {
    sentPerSecond:
      sent / nodes / seconds + after.links * probeBytesPerLinkAndSecond,
    cpuPercent: (after.cpuMs - before.cpuMs) / nodes / seconds / 10,
    framesPerSecond: frames / nodes / seconds,
  };
}

function computeQuantile(values: readonly number[], part: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  const index = Math.ceil(part * sorted.length) - 1;
  return sorted[Math.max(0, index)];
}

/** Fits a line to the points by least squares, and returns its value at `x` and its slope. */
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

function printFigures(figures: object): void {
  console.log(JSON.stringify(roundFigures(figures)));
}

function hasAllRecords(nodes: readonly MembershipNode[]): boolean {
  return nodes.every(node => node.roster.list().length === nodes.length);
}

async function measureStart(nodes: readonly MembershipNode[]) {
  const before = readResourceSnapshot(nodes);
  await Promise.all(nodes.map(node => node.start()));
  const completeMs = await waitFor('all records on all nodes', 120_000, () =>
    hasAllRecords(nodes),
  );
  await systemClock.sleep(5000);
  const after = readResourceSnapshot(nodes);
  const sent = nodes.map(node => countWireBytes(node.links.getTraffic()));
  return {
    completeMs,
    kilobytesSent:
      sent.reduce((sum, bytes) => sum + bytes, 0) / nodes.length / 1000,
    mostKilobytesSent: Math.max(...sent) / 1000,
    cpuMs: (after.cpuMs - before.cpuMs) / nodes.length,
  };
}

/** Makes one change at one node, and returns the time until all nodes have it. */
async function measureChange(
  nodes: readonly MembershipNode[],
  index: number,
): Promise<Millis> {
  const changed = nodes[index % nodes.length];
  changed.publishPhaseChange(index % serversPerNode);
  const {node, version} = changed.own.get();
  const start = systemClock.getTime();
  return new Promise(resolve => {
    // Number of nodes that do not have the new version yet.
    let outdatedCount = 0;
    for (const other of nodes) {
      if (other.roster.get(node)?.version === version) continue;
      outdatedCount += 1;
      let isPending = true;
      other.roster.onMerge(record => {
        if (!isPending || record.node !== node || record.version < version)
          return;
        isPending = false;
        outdatedCount -= 1;
        if (outdatedCount === 0) resolve(systemClock.getTime() - start);
      });
    }
    if (outdatedCount === 0) resolve(0);
  });
}

async function measureChanges(nodes: readonly MembershipNode[], idle: Cost) {
  const before = readResourceSnapshot(nodes);
  const times: Millis[] = [];
  for (let index = 0; index < changes; index += 1) {
    times.push(await measureChange(nodes, index));
    await systemClock.sleep(changePauseMs);
  }
  const after = readResourceSnapshot(nodes);
  const costWithChanges = computeCost(before, after, nodes.length);
  const changesPerSecond = changes / ((after.atMs - before.atMs) / 1000);
  return {
    p50Ms: computeQuantile(times, 0.5),
    p99Ms: computeQuantile(times, 0.99),
    bytesPerChange:
      (costWithChanges.sentPerSecond - idle.sentPerSecond) / changesPerSecond,
    cpuMsPerChange:
      ((costWithChanges.cpuPercent - idle.cpuPercent) * 10) / changesPerSecond,
  };
}

/** Restarts nodes one by one, and returns the traffic that a restart adds to the idle traffic of each node. */
async function measureRestarts(nodes: MembershipNode[], idle: Cost) {
  const log = makeMemoryLog();
  const before = readResourceSnapshot(nodes);
  let stoppedTraffic = noTraffic;
  const times: Millis[] = [];
  for (let index = 0; index < restarts; index += 1) {
    const position = nodes.length - 1 - (index % nodes.length);
    const stopped = nodes[position];
    stopped.publish({state: 'leaving'});
    await systemClock.sleep(1000);
    await stopped.stop();
    stoppedTraffic = addTraffic(stoppedTraffic, stopped.links.getTraffic());
    const restarted = new MembershipNode(stopped.plan, log);
    nodes[position] = restarted;
    await restarted.start();
    times.push(
      await waitFor('all records on all nodes after the restart', 60_000, () =>
        hasAllRecords(nodes),
      ),
    );
    // Publishes one more version per backend server, as on a VM, where each is announced as starting, then as ready.
    for (let i = 0; i < serversPerNode; i += 1) restarted.publishPhaseChange(i);
    await systemClock.sleep(9000);
  }
  const after = readResourceSnapshot(nodes);
  const traffic = addTraffic(after.traffic, stoppedTraffic);
  const cost = computeCost(before, {...after, traffic}, nodes.length);
  const seconds = (after.atMs - before.atMs) / 1000;
  return {
    bytesPerRestart:
      ((cost.sentPerSecond - idle.sentPerSecond) * seconds) / restarts,
    completeMs: computeQuantile(times, 0.5),
  };
}

async function measureFleet(count: number, network: number) {
  const log = makeMemoryLog();
  const plans = planMembershipFleet(count, network, serversPerNode);
  const nodes = plans.map(plan => new MembershipNode(plan, log));
  const start = await measureStart(nodes);
  await systemClock.sleep(settleMs);
  const before = readResourceSnapshot(nodes);
  await systemClock.sleep(idleMs);
  const settled = readResourceSnapshot(nodes);
  const idle = computeCost(before, settled, count);
  const change = await measureChanges(nodes, idle);
  const restart = await measureRestarts(nodes, idle);
  const ejectionVersionsPerSecond =
    (ejectionsPerDay * versionsPerEjection) / secondsPerDay;
  const churnBytesPerSecond =
    ejectionVersionsPerSecond * change.bytesPerChange +
    (restartsPerDay / secondsPerDay) * restart.bytesPerRestart;
  await Promise.all(nodes.map(node => node.stop()));
  return {
    nodes: count,
    links: settled.links,
    idle,
    sentPerSecondWithChurn: idle.sentPerSecond + churnBytesPerSecond,
    change,
    restart,
    start,
  };
}

function measureRoster() {
  setFlagsFromString('--expose-gc');
  const collectGarbage = runInNewContext('gc') as () => void;
  const plans = planMembershipFleet(designNodes, 90, serversPerNode);
  const frames = encodeRecords(
    plans.map(plan => ({ageMs: 0, record: makeNodeRecord(plan, 0)})),
  );
  const rosters: Roster[] = [];
  const mergeMs: number[] = [];
  let longestFrameMs = 0;
  const runs = 10;
  collectGarbage();
  const heapBefore = process.memoryUsage().heapUsed;
  for (let run = 0; run < runs; run += 1) {
    const roster = new Roster();
    const startMs = performance.now();
    for (const bytes of frames) {
      const frameStartMs = performance.now();
      const frame = decodeFrame(bytes);
      if (frame._tag === 'Left' || frame.right.kind !== 'records')
        throw new Error('not a frame of records');
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
  collectGarbage();
  const heapBytes = process.memoryUsage().heapUsed - heapBefore;
  return {
    records: rosters[0].list().length,
    frames: frames.length,
    frameKilobytes: frames.reduce((sum, bytes) => sum + bytes.length, 0) / 1000,
    heapMegabytes: heapBytes / runs / 1e6,
    firstMergeMs: mergeMs[0],
    longestFrameMs,
    medianMergeMs: computeQuantile(mergeMs, 0.5),
  };
}

printFigures({roster: measureRoster()});
const fleets: Awaited<ReturnType<typeof measureFleet>>[] = [];
for (const [index, size] of fleetSizes.entries()) {
  const figures = await measureFleet(size, 91 + index);
  fleets.push(figures);
  printFigures(figures);
}
const estimateAtDesignSize = (
  getFigure: (fleet: (typeof fleets)[number]) => number,
) =>
  estimateLine(
    fleets.map(fleet => [fleet.nodes, getFigure(fleet)] as const),
    designNodes,
  );
printFigures({
  nodes: designNodes,
  estimated: {
    idleSentPerSecond: estimateAtDesignSize(fleet => fleet.idle.sentPerSecond),
    sentPerSecondWithChurn: estimateAtDesignSize(
      fleet => fleet.sentPerSecondWithChurn,
    ),
    cpuPercent: estimateAtDesignSize(fleet => fleet.idle.cpuPercent),
    bytesPerChange: estimateAtDesignSize(fleet => fleet.change.bytesPerChange),
    bytesPerRestart: estimateAtDesignSize(
      fleet => fleet.restart.bytesPerRestart,
    ),
    startKilobytesSent: estimateAtDesignSize(
      fleet => fleet.start.kilobytesSent,
    ),
    startMostKilobytesSent: estimateAtDesignSize(
      fleet => fleet.start.mostKilobytesSent,
    ),
    startCpuMs: estimateAtDesignSize(fleet => fleet.start.cpuMs),
  },
});
