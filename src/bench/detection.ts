import {build, Histogram} from 'hdr-histogram-js';
import {makeRandom, Millis, Random} from '../base/index.js';
import {EjectionRule, PresetName, presets} from '../config/index.js';
import {getSlowLimit, Observation} from '../health/index.js';
import {CusumDetector, Detector, ThresholdDetector} from './detectors.js';
import {FalseEjections, measureFalseEjections} from './false_ejections.js';
import {
  Fault,
  faults,
  makeFaultyAnswer,
  makeHangingObservations,
  pickInterval,
  pickLatency,
  Workload,
  workloads,
} from './workload.js';

// Measures detection time and false ejections of the ways to observe backend servers, for both presets and for a
// plain baseline. Arguments: number of runs for each fault (200), seed (1), only this way (all), only this service.

/** A way to observe: how often one observer sees each server, and how late. */
interface Way {
  readonly name: string;
  getRate(workload: Workload): number;
  /** Observations reach the observer in batches of this length. */
  readonly batchMs: Millis;
}

const ways: readonly Way[] = [
  {name: 'entry alone', getRate: w => w.rate / w.entries, batchMs: 0},
  {
    name: 'entry, subset',
    getRate: w => (w.rate * w.servers) / (w.entries * w.subset),
    batchMs: 0,
  },
  {name: 'pooled', getRate: w => w.rate, batchMs: 1000},
  {name: 'guard', getRate: w => w.rate, batchMs: 0},
];

interface Kind {
  readonly name: string;
  readonly rule: EjectionRule;
  make(): Detector;
}

function makeKind(name: PresetName): Kind {
  const rule = presets[name];
  return {name, rule, make: () => new CusumDetector(rule)};
}

const kinds: readonly Kind[] = [
  makeKind('careful'),
  makeKind('prompt'),
  {name: 'plain', rule: presets.careful, make: () => new ThresholdDetector()},
];

const capMs: Millis = 3_600_000;
const warmUpAnswers = 100;

/** Observations of a server since its fault began. */
function* makeFaulty(
  fault: Fault,
  workload: Workload,
  rate: number,
  rule: EjectionRule,
  random: Random,
): Generator<Observation> {
  if (fault === 'hanging') {
    const limitMs = getSlowLimit(rule, workload.medianMs);
    yield* makeHangingObservations(rate, workload.slots, limitMs, random);
    return;
  }
  for (let sentMs = 0; sentMs < capMs;) {
    sentMs += pickInterval(random, 1000 / rate);
    yield makeFaultyAnswer(fault, workload.medianMs, sentMs, random);
  }
}

/** Time from the start of a fault to the ejection; the cap if there was none. */
function measureDetection(
  fault: Fault,
  workload: Workload,
  way: Way,
  kind: Kind,
  random: Random,
): Millis {
  const detector = kind.make();
  for (let i = 0; i < warmUpAnswers; i += 1) {
    const tookMs = pickLatency(random, workload.medianMs);
    const atMs = i - warmUpAnswers;
    detector.observe(
      {kind: 'answer', atMs, ok: true, tookMs},
      workload.medianMs,
    );
  }
  const rate = way.getRate(workload);
  for (const seen of makeFaulty(fault, workload, rate, kind.rule, random)) {
    const atMs = way.batchMs
      ? Math.ceil(seen.atMs / way.batchMs) * way.batchMs
      : seen.atMs;
    detector.observe({...seen, atMs}, workload.medianMs);
    if (detector.report(atMs).kind === 'ejected') return Math.min(atMs, capMs);
  }
  return capMs;
}

function formatSeconds(ms: Millis): string {
  if (ms >= capMs * 0.99) return '>3600';
  const seconds = ms / 1000;
  return seconds < 100 ? seconds.toFixed(1) : seconds.toFixed(0);
}

function formatDetection(times: Histogram): string {
  return `${formatSeconds(times.getValueAtPercentile(50))}/${formatSeconds(times.maxValue)}`;
}

function printRow(cells: readonly string[]): void {
  console.log(
    cells
      .map((cell, index) => (index < 3 ? cell.padEnd(14) : cell.padStart(13)))
      .join(''),
  );
}

function main(): void {
  const runs = Number(process.argv[2] ?? 200);
  const seed = Number(process.argv[3] ?? 1);
  console.log(
    `seed ${seed}, ${runs} runs; detection in s: median/worst; false ejections per server-day: alarms/exclusions`,
  );
  printRow(['service', 'way', 'detector', ...faults, 'false']);
  const onlyWay = process.argv[4] ?? 'all';
  const onlyService = process.argv[5];
  const healthyRuns = new Map<string, FalseEjections>();
  for (const workload of workloads) {
    if (onlyService && onlyService !== workload.name) continue;
    for (const way of ways) {
      if (onlyWay !== 'all' && onlyWay !== way.name) continue;
      for (const kind of kinds) {
        const cells = faults.map(fault => {
          const times = build({highestTrackableValue: capMs});
          const random = makeRandom(seed);
          for (let run = 0; run < runs; run += 1) {
            times.recordValue(
              measureDetection(fault, workload, way, kind, random),
            );
          }
          return formatDetection(times);
        });
        const rate = way.getRate(workload);
        // Pooling delays observations without changing them, so its healthy run is the guard's.
        const key = `${workload.name} ${kind.name} ${rate}`;
        const wrong =
          healthyRuns.get(key) ??
          measureFalseEjections(workload, rate, kind, makeRandom(seed));
        healthyRuns.set(key, wrong);
        printRow([
          workload.name,
          way.name,
          kind.name,
          ...cells,
          `${wrong.alarms.toFixed(2)}/${wrong.exclusions.toFixed(2)}`,
        ]);
      }
    }
  }
}

main();
