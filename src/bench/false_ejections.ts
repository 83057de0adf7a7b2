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

/** Rates per server-day at which healthy servers are ejected. */
export interface FalseEjections {
  /** Ejections reported by the detectors. */
  readonly alarms: number;
  /** Servers excluded by the exclusion rule at the entries. */
  readonly exclusions: number;
}

/** A kind of detector, with its rule. */
export interface DetectorKind {
  readonly name: string;
  readonly rule: EjectionRule;
  make(): Detector;
}

const msPerDay: Millis = 86_400_000;
const tickMs: Millis = 1000;
const targetResponses = 5_000_000;
const maxServerDays = 30;

const exclusionContext: ExclusionContext = {
  isRetired: () => false,
  isUnreachable: () => false,
  isSuspected: () => false,
};

/** Simulates a healthy service for enough server-days to give a stable rate. */
export function measureFalseEjections(
  workload: Workload,
  rate: number,
  kind: DetectorKind,
  random: Random,
): FalseEjections {
  const serverDays = Math.min(maxServerDays, targetResponses / (rate * 86_400));
  const lengthMs = (serverDays / workload.servers) * msPerDay;
  const run = new HealthyServiceRun(workload, rate, kind, random);
  for (let nowMs = 0; nowMs < lengthMs; nowMs += tickMs) run.advance(nowMs);
  return {
    alarms: run.alarms / serverDays,
    exclusions: run.exclusions / serverDays,
  };
}

class HealthyServiceRun {
  alarms = 0;
  exclusions = 0;
  private readonly detectors: readonly Detector[];
  private readonly simulation: HealthyServiceSimulation;
  private ejected: readonly boolean[];
  private weights: readonly number[];
  private baselineMs: Millis;
  private nextRequestMs = 0;

  constructor(
    private readonly workload: Workload,
    private readonly rate: number,
    private readonly kind: DetectorKind,
    private readonly random: Random,
  ) {
    const {servers, medianMs} = workload;
    this.detectors = Array.from({length: servers}, () => kind.make());
    this.simulation = new HealthyServiceSimulation(workload, random);
    this.ejected = this.detectors.map(() => false);
    this.weights = this.detectors.map(() => 1);
    this.baselineMs = medianMs;
  }

  /** Simulates one tick: the requests, then the reports to the entries and the verdicts that follow from them. */
  advance(nowMs: Millis): void {
    this.simulation.advance(nowMs);
    const meanGapMs = 1000 / (this.rate * this.workload.servers);
    while (this.nextRequestMs < nowMs + tickMs) {
      this.nextRequestMs += pickInterval(this.random, meanGapMs);
      const server = Math.floor(this.random() * this.detectors.length);
      if (this.random() < this.weights[server]) {
        const limitMs = getSlowLimit(this.kind.rule, this.baselineMs);
        for (const observation of this.simulation.makeObservations(
          server,
          this.nextRequestMs,
          limitMs,
        )) {
          this.detectors[server].observe(observation, this.baselineMs);
        }
      }
    }
    this.publishReports(nowMs + tickMs);
  }

  private publishReports(nowMs: Millis): void {
    const reports = this.detectors.map(detector => detector.report(nowMs));
    const ejected = reports.map(report => report.kind === 'ejected');
    this.alarms += ejected.filter(
      (isEjected, server) => isEjected && !this.ejected[server],
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
    const verdicts = this.applyRule(reports).map(
      candidate => candidate.verdict,
    );
    this.exclusions += verdicts.filter(
      (verdict, server) =>
        verdict.kind === 'excluded' && this.weights[server] > 0,
    ).length;
    this.weights = verdicts.map(verdict =>
      verdict.kind === 'excluded' ? 0 : verdict.weight,
    );
  }

  private applyRule(
    healths: readonly ServerReport['health'][],
  ): readonly ServerWithVerdict[] {
    const {name, floor} = this.workload;
    // The threshold detector, the baseline, is measured with neither a floor nor a common-cause rule.
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
    return applyExclusionRule(service, known, exclusionContext);
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
