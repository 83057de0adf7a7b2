import {asId, Millis, Random} from '../base/index.js';
import {EjectionRule, presets, Service} from '../config/index.js';
import {
  getSlowLimit,
  ExclusionContext,
  ServerWithVerdict,
  applyExclusionRule,
} from '../health/index.js';
import {KnownServer, NodeRecord, ServerReport} from '../membership/index.js';
import {Detector} from './detectors.js';
import {HealthyServiceSimulation, pickInterval, Workload} from './workload.js';

/** Ejections of healthy servers per server-day: by the detector, and as excluded by the rule at the entries. */
export interface FalseEjections {
  readonly alarms: number;
  readonly exclusions: number;
}

/** What makes detectors of one kind. */
export interface DetectorKind {
  readonly name: string;
  readonly rule: EjectionRule;
  make(): Detector;
}

const dayMs: Millis = 86_400_000;
const tickMs: Millis = 1000;
const targetAnswers = 5_000_000;
const maxServerDays = 30;

const context: ExclusionContext = {
  isRetired: () => false,
  isUnreachable: () => false,
  isSuspected: () => false,
};

/** Runs a healthy service for as many days as give a steady figure. */
export function measureFalseEjections(
  workload: Workload,
  rate: number,
  kind: DetectorKind,
  random: Random,
): FalseEjections {
  const serverDays = Math.min(maxServerDays, targetAnswers / (rate * 86_400));
  const lengthMs = (serverDays / workload.servers) * dayMs;
  const run = new HealthyRun(workload, rate, kind, random);
  for (let nowMs = 0; nowMs < lengthMs; nowMs += tickMs) run.advance(nowMs);
  return {
    alarms: run.raised / serverDays,
    exclusions: run.excluded / serverDays,
  };
}

class HealthyRun {
  raised = 0;
  excluded = 0;
  private readonly detectors: readonly Detector[];
  private readonly source: HealthyServiceSimulation;
  private ejected: readonly boolean[];
  private weights: readonly number[];
  private baselineMs: Millis;
  private nextMs = 0;

  constructor(
    private readonly workload: Workload,
    private readonly rate: number,
    private readonly kind: DetectorKind,
    private readonly random: Random,
  ) {
    const {servers, medianMs} = workload;
    this.detectors = Array.from({length: servers}, () => kind.make());
    this.source = new HealthyServiceSimulation(workload, random);
    this.ejected = this.detectors.map(() => false);
    this.weights = this.detectors.map(() => 1);
    this.baselineMs = medianMs;
  }

  /** Runs one tick: the answers, then the reports and verdicts that reach the entries. */
  advance(nowMs: Millis): void {
    this.source.advance(nowMs);
    const meanGapMs = 1000 / (this.rate * this.workload.servers);
    while (this.nextMs < nowMs + tickMs) {
      this.nextMs += pickInterval(this.random, meanGapMs);
      const server = Math.floor(this.random() * this.detectors.length);
      if (this.random() < this.weights[server]) {
        const limitMs = getSlowLimit(this.kind.rule, this.baselineMs);
        for (const seen of this.source.makeObservations(
          server,
          this.nextMs,
          limitMs,
        )) {
          this.detectors[server].observe(seen, this.baselineMs);
        }
      }
    }
    this.spread(nowMs + tickMs);
  }

  private spread(nowMs: Millis): void {
    const reports = this.detectors.map(detector => detector.report(nowMs));
    const ejected = reports.map(report => report.kind === 'ejected');
    this.raised += ejected.filter(
      (now, server) => now && !this.ejected[server],
    ).length;
    this.ejected = ejected;
    const sorted = this.detectors
      .map(detector => detector.getTypicalLatency())
      .filter(ms => ms > 0)
      .sort((a, b) => a - b);
    this.baselineMs =
      sorted[Math.floor(sorted.length / 2)] ?? this.workload.medianMs;
    if (reports.every(report => report.kind === 'healthy')) {
      this.weights = this.detectors.map(() => 1);
      return;
    }
    const verdicts = this.judge(reports).map(judged => judged.verdict);
    this.excluded += verdicts.filter(
      (verdict, server) =>
        verdict.kind === 'excluded' && this.weights[server] > 0,
    ).length;
    this.weights = verdicts.map(verdict =>
      verdict.kind === 'excluded' ? 0 : verdict.weight,
    );
  }

  private judge(
    healths: readonly ServerReport['health'][],
  ): readonly ServerWithVerdict[] {
    const {name, floor} = this.workload;
    // The plain way knows neither a floor nor a common cause.
    const isPlain = this.kind.name === 'plain';
    const service: Service = {
      id: asId(name),
      floor: isPlain ? 0 : floor,
      rule: isPlain
        ? {...presets.careful, commonCauseShare: 1}
        : this.kind.rule,
      timeoutMs: 5000,
      stallMs: 2000,
      queuePerServer: 16,
    };
    const known = healths.map((health, index) =>
      makeKnownServer(service, index, health),
    );
    return applyExclusionRule(service, known, context);
  }
}

function makeKnownServer(
  service: Service,
  index: number,
  health: ServerReport['health'],
): KnownServer {
  const report: ServerReport = {
    server: asId(`${service.id}-${index}`),
    service: service.id,
    pool: service.id,
    incarnation: 1,
    slots: 5,
    phase: 'ready',
    health,
    typicalMs: 0,
  };
  const record: NodeRecord = {
    node: asId(`node-${index}`),
    incarnation: 1,
    version: 1,
    dataCentre: asId('wien-nord'),
    region: asId('ostregion'),
    peerAddress: '',
    dataAddress: '',
    adminAddress: '',
    state: 'serving',
    configVersion: 0,
    servers: [report],
    suspicions: [],
  };
  return {report, record};
}
