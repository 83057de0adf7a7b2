import {systemClock} from '../base/index.js';
import {LocalFleet, NodeSpec} from '../testing/index.js';
import {readProcessUsage} from './process_usage.js';

// Measures CPU and memory of nodes without callers, each in its own process, at several fleet sizes.
// Usage: node dist/src/bench/idle.js NODES...

const settleMs = 10_000;
const measureMs = 15_000;
const dataCentres = ['wien-nord', 'wien-sued', 'noe-tulln'];

function makeNode(index: number): NodeSpec {
  return {
    id: `n${index}`,
    dataCentre: dataCentres[index % dataCentres.length],
    region: 'ostregion',
    backends: [],
  };
}

function computeMedian(values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)];
}

async function measureFleet(count: number): Promise<void> {
  const nodeSpecs = Array.from({length: count}, (_, i) => makeNode(i));
  const fleet = await LocalFleet.start(nodeSpecs, {relays: false});
  try {
    await fleet.applyChanges('n0', [
      {kind: 'set-partner', partner: 'partner-a', weight: 1},
    ]);
    await systemClock.sleep(settleMs);
    const pids = [...fleet.nodes.values()].map(
      node => node.process.child.pid ?? 0,
    );
    const before = pids.map(readProcessUsage);
    const start = systemClock.getTime();
    await systemClock.sleep(measureMs);
    const tookMs = systemClock.getTime() - start;
    const after = pids.map(readProcessUsage);
    const shares = after.map(
      (usage, i) => (100 * (usage.cpuMs - before[i].cpuMs)) / tookMs,
    );
    const resident = after.map(usage => usage.residentMb);
    console.log(
      `${count} nodes: CPU median ${computeMedian(shares).toFixed(2)}%, most ${Math.max(...shares).toFixed(2)}% of a core; ` +
        `resident median ${computeMedian(resident).toFixed(0)} MB, most ${Math.max(...resident).toFixed(0)} MB`,
    );
  } finally {
    await fleet.stop();
  }
}

for (const count of process.argv.slice(2).map(Number)) {
  await measureFleet(count);
}
