import {Counter, Gauge, Histogram, Registry} from 'prom-client';

/** Bucket bounds in seconds, for latencies of 5 ms to 30 s. */
const latencyBuckets = [
  0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6, 12, 30,
];

/** Metrics of the entry. */
export interface EntryMetrics {
  readonly requests: Counter<'result'>;
  readonly sends: Counter<'repeat'>;
  readonly latency: Histogram<'result'>;
}

/** Metrics of the guard. */
export interface GuardMetrics {
  readonly refusals: Counter<'reason'>;
  readonly slotWait: Histogram;
  readonly departures: Counter<'source'>;
  /** Requests a second: `named` by the server, `allowed` by the guard; absent without a limit. */
  readonly serverLimit: Gauge<'kind'>;
  readonly serverLimitAge: Gauge;
}

/** Metrics of calls to the platform's store. */
export interface StoreMetrics {
  readonly calls: Counter<'call' | 'result'>;
}

/** Registers the metrics of a sidecar node. */
export function buildMetrics(
  registry: Registry,
): EntryMetrics & GuardMetrics & StoreMetrics {
  const registers = [registry];
  return {
    requests: new Counter({
      name: 'fescuewheel_requests_total',
      help: 'Requests of callers by result',
      labelNames: ['result'],
      registers,
    }),
    sends: new Counter({
      name: 'fescuewheel_sends_total',
      help: 'Requests sent to backend servers',
      labelNames: ['repeat'],
      registers,
    }),
    latency: new Histogram({
      name: 'fescuewheel_request_seconds',
      help: 'Time from receiving a request to its answer',
      labelNames: ['result'],
      buckets: latencyBuckets,
      registers,
    }),
    refusals: new Counter({
      name: 'fescuewheel_slot_refusals_total',
      help: 'Slot requests that the guard refused, by reason',
      labelNames: ['reason'],
      registers,
    }),
    slotWait: new Histogram({
      name: 'fescuewheel_slot_wait_seconds',
      help: 'Time that granted requests waited for a slot',
      buckets: latencyBuckets,
      registers,
    }),
    departures: new Counter({
      name: 'fescuewheel_departures_heard_total',
      help: 'Departures of the backend server that did not come from its reports, by source',
      labelNames: ['source'],
      registers,
    }),
    serverLimit: new Gauge({
      name: 'fescuewheel_server_limit_per_second',
      help: 'Requests a second that the backend server named as its limit, and that its guard starts at most',
      labelNames: ['kind'],
      registers,
    }),
    serverLimitAge: new Gauge({
      name: 'fescuewheel_server_limit_age_seconds',
      help: 'Time since an answer last named the limit of the backend server; 0 without a limit',
      registers,
    }),
    calls: new Counter({
      name: 'fescuewheel_store_calls_total',
      help: 'Calls of the platform store by result',
      labelNames: ['call', 'result'],
      registers,
    }),
  };
}
