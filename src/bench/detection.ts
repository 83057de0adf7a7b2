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

// Measures detection times and false ejections of several schemes to observe backend servers, for both presets and for a
// threshold detector as the baseline. Arguments: runs for each fault (default 200), seed (default 1), the only scheme to
// measure (default all), the only service to measure.

/** Rate and delay with which one observer receives observations of each server. */
interface ObservationScheme {
  readonly name: string;
  /** Observations of one server that the observer receives a second. */
  getRate(workload: Workload): number;
  /** Interval of the batches in which observations reach the observer; 0 without batching. */
  readonly batchMs: Millis;
}

const observationSchemes: readonly ObservationScheme[] = [
  {
    name: 'entry alone',
    getRate: workload => workload.rate / workload.entries,
    batchMs: 0,
  },
  {
    name: 'entry, subset',
    getRate: workload =>
      (workload.rate * workload.servers) / (workload.entries * workload.subset),
    batchMs: 0,
  },
  {name: 'pooled', getRate: workload => workload.rate, batchMs: 1000},
  {name: 'guard', getRate: workload => workload.rate, batchMs: 0},
];

interface DetectorKind {
  readonly name: string;
  readonly rule: EjectionRule;
  make(): Detector;
}

function makeDetectorKind(name: PresetName): DetectorKind {
  const rule = presets[name];
  return {name, rule, make: () => new CusumDetector(rule)};
}

const detectorKinds: readonly DetectorKind[] = [
  makeDetectorKind('careful'),
  makeDetectorKind('prompt'),
  {name: 'plain', rule: presets.careful, make: () => new ThresholdDetector()},
];

const maxDetectionMs: Millis = 3_600_000;
const warmUpResponses = 100;

/** Yields the observations of a server from the start of its fault. */
function* makeFaultyObservations(
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
  for (let sentMs = 0; sentMs < maxDetectionMs;) {
    sentMs += pickInterval(random, 1000 / rate);
    yield makeFaultyAnswer(fault, workload.medianMs, sentMs, random);
  }
}

/** Returns the time from the start of a fault to the ejection, or `maxDetectionMs` if there was none. */
function measureDetection(
  fault: Fault,
  workload: Workload,
  scheme: ObservationScheme,
  kind: DetectorKind,
  random: Random,
): Millis {
  const detector = kind.make();
  for (let i = 0; i < warmUpResponses; i += 1) {
    const tookMs = pickLatency(random, workload.medianMs);
    const atMs = i - warmUpResponses;
    detector.observe(
      {kind: 'answer', atMs, ok: true, tookMs},
      workload.medianMs,
    );
  }
  const rate = scheme.getRate(workload);
  for (const observation of makeFaultyObservations(
    fault,
    workload,
    rate,
    kind.rule,
    random,
  )) {
    const atMs = scheme.batchMs
      ? Math.ceil(observation.atMs / scheme.batchMs) * scheme.batchMs
      : observation.atMs;
    detector.observe({...observation, atMs}, workload.medianMs);
    if (detector.report(atMs).kind === 'ejected')
      return Math.min(atMs, maxDetectionMs);
  }
  return maxDetectionMs;
}

function formatSeconds(ms: Millis): string {
  if (ms >= maxDetectionMs * 0.99) return '>3600';
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
  const onlyScheme = process.argv[4] ?? 'all';
  const onlyService = process.argv[5];
  const healthyRuns = new Map<string, FalseEjections>();
  for (const workload of workloads) {
    if (onlyService && onlyService !== workload.name) continue;
    for (const scheme of observationSchemes) {
      if (onlyScheme !== 'all' && onlyScheme !== scheme.name) continue;
      for (const kind of detectorKinds) {
        const cells = faults.map(fault => {
          const times = build({highestTrackableValue: maxDetectionMs});
          const random = makeRandom(seed);
          for (let run = 0; run < runs; run += 1) {
            times.recordValue(
              measureDetection(fault, workload, scheme, kind, random),
            );
          }
          return formatDetection(times);
        });
        const rate = scheme.getRate(workload);
        // Pooling delays observations without changing them, so it shares the healthy run of the guard.
        const runKey = `${workload.name} ${kind.name} ${rate}`;
        const falseEjections =
          healthyRuns.get(runKey) ??
          measureFalseEjections(workload, rate, kind, makeRandom(seed));
        healthyRuns.set(runKey, falseEjections);
        printRow([
          workload.name,
          scheme.name,
          kind.name,
          ...cells,
          `${falseEjections.alarms.toFixed(2)}/${falseEjections.exclusions.toFixed(2)}`,
        ]);
      }
    }
  }
}

main();
