import {RequestClass, LoadPattern} from './simulation_types.js';

/** The requests of a filing service: mostly non-idempotent filings, with short and long reads. */
const classes: readonly RequestClass[] = [
  {
    name: 'filing',
    share: 0.6,
    workMs: 400,
    targetMs: 1500,
    deadlineMs: 4000,
    priority: 1,
    isIdempotent: false,
  },
  {
    name: 'read',
    share: 0.25,
    workMs: 300,
    targetMs: 1000,
    deadlineMs: 2500,
    priority: 2,
    isIdempotent: true,
  },
  {
    name: 'long read',
    share: 0.15,
    workMs: 1600,
    targetMs: 5000,
    deadlineMs: 12_000,
    priority: 2,
    isIdempotent: true,
  },
];

function makePattern(changes: Partial<LoadPattern>): LoadPattern {
  return {
    servers: 9,
    slots: 5,
    classes,
    lengthMs: 30_000,
    getLoad: () => 0.6,
    isFaulty: () => false,
    failure: 'hang',
    ...changes,
  };
}

const faultPeriodMs = 9000;
const faultMs = 2700;

/** Each server hangs three of four requests during 2.7 s of every 9 s, offset from the other servers. */
function isInFault(server: number, atMs: number): boolean {
  return (atMs + server * 1300) % faultPeriodMs < faultMs;
}

const longFaultPeriodMs = 30_000;
const longFaultMs = 9000;

/** Each server fails three of four requests during 9 s of every 30 s, offset from the other servers. */
function isInLongFault(server: number, atMs: number): boolean {
  return (atMs + server * 3300) % longFaultPeriodMs < longFaultMs;
}

/** Requests of a large filing service: filings, and short calls that may be repeated. */
const filingsAndCalls: readonly RequestClass[] = [
  {
    name: 'filing',
    share: 0.8,
    workMs: 860,
    targetMs: 3000,
    deadlineMs: 5000,
    priority: 1,
    isIdempotent: false,
  },
  {
    name: 'call',
    share: 0.2,
    workMs: 210,
    targetMs: 800,
    deadlineMs: 2500,
    priority: 1,
    isIdempotent: true,
  },
];

/** A service with 42 servers and an entry beside each of 108 servers of the fleet. */
const largeService = {
  servers: 42,
  slots: 7,
  classes: filingsAndCalls,
  entries: 108,
  dataCentres: 3,
  getLoad: () => 0.4,
} satisfies Partial<LoadPattern>;

/** Six of nine servers name a limit of 2 requests a second from 6 s to 25 s; sound ones run 7 a second. */
function getLimit(server: number, atMs: number): number | undefined {
  return server < 6 && atMs >= 6000 && atMs < 25_000 ? 2 : undefined;
}

/** The load patterns of the simulations, by name. */
export const patterns = {
  steady: makePattern({}),
  faults: makePattern({isFaulty: isInFault}),
  'overload 1.3': makePattern({getLoad: () => 1.3}),
  'burst 3 for 4 s': makePattern({
    getLoad: at => (at >= 8000 && at < 12_000 ? 3 : 0.7),
  }),
  'square wave 0.3/1.5': makePattern({
    getLoad: at => (at % 4000 < 2000 ? 1.5 : 0.3),
  }),
  'faults, 0.85': makePattern({getLoad: () => 0.85, isFaulty: isInFault}),
  'early errors, 1.1': makePattern({
    getLoad: () => 1.1,
    isFaulty: isInLongFault,
    failure: 'early-error',
  }),
  'half of the servers lost for 6 s': makePattern({
    isFaulty: (server, at) => server % 2 === 0 && at >= 8000 && at < 14_000,
  }),
  'limits, 0.4': makePattern({getLoad: () => 0.4, getLimit}),
  'limits, 0.8': makePattern({getLoad: () => 0.8, getLimit}),
  'limits, burst 2 for 4 s': makePattern({
    getLoad: at => (at >= 12_000 && at < 16_000 ? 2 : 0.4),
    getLimit,
  }),
  'large service': makePattern(largeService),
  'large service, faults': makePattern({...largeService, isFaulty: isInFault}),
  'large service, early errors': makePattern({
    ...largeService,
    isFaulty: isInLongFault,
    failure: 'early-error',
  }),
  'large service, filings only, faults': makePattern({
    ...largeService,
    classes: [{...filingsAndCalls[0], share: 1}],
    isFaulty: isInFault,
  }),
  'large service, callers in one data centre': makePattern({
    ...largeService,
    callingDataCentres: 1,
    getLoad: () => 0.25,
  }),
} satisfies Record<string, LoadPattern>;
