import {Millis} from '../../src/base/index.js';
import {RequestRecord, callerDeadlineMs} from './load_generator.js';

/** A run of a request as a backend server saw it. */
export interface ObservedRun {
  readonly id: string;
  readonly server: string;
  readonly node: number;
  readonly method: string;
  readonly path: string;
  readonly atMs: Millis;
}

/** What happened to the process of a node, and when. */
export interface NodeDisruption {
  readonly node: number;
  /** `stopping` lasts from the signal to the end of the process; `gone` to the next process that is ready. */
  readonly kind: 'stopping' | 'killed' | 'paused' | 'gone';
  readonly fromMs: Millis;
  readonly untilMs: Millis;
}

/** Time that the main thread of a node waited for a processor, as the kernel counts it. */
export interface ProcessorWait {
  readonly node: number;
  readonly atMs: Millis;
  readonly waitedMs: Millis;
}

/** When a guard acknowledged that its backend server leaves. */
export interface AcknowledgedDrain {
  readonly server: string;
  readonly node: number;
  readonly ackedAt: Millis;
}

/** All that a run showed. */
export interface SoakObservations {
  readonly requests: readonly RequestRecord[];
  readonly runs: readonly ObservedRun[];
  readonly spans: readonly NodeDisruption[];
  readonly leaves: readonly AcknowledgedDrain[];
  readonly processorWaits: readonly ProcessorWait[];
  /** Ends of processes that nobody had asked for, and stops that took too long. */
  readonly processFaults: readonly string[];
  /** Longest pause of the soak's own event loop, by which its times may be off. */
  readonly lagMs: Millis;
  /** Requests after all faults had ended. */
  readonly finalRequests: readonly RequestRecord[];
}

/** Statuses that promise that a request has not run and never will. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Time after the route's timeout in which the final answer must come. */
const answerSlackMs: Millis = 500;
const drainMs: Millis = 2500;
/** Part of the requests that must be served once all faults have ended. */
const finalShare = 0.9;

/** Gives the body that a backend server makes for a request. */
export function makeResponseBody(id: string): string {
  return `answer to ${id} ${'.'.repeat(200)}`;
}

/** Checks the promises; gives a line for each that was broken. */
export function listViolations(record: SoakObservations): readonly string[] {
  const runsById = new Map<string, ObservedRun[]>();
  for (const run of record.runs) {
    const known = runsById.get(run.id);
    if (known) known.push(run);
    else runsById.set(run.id, [run]);
  }
  return [
    ...record.processFaults,
    ...record.requests.flatMap(request =>
      checkRequest(request, runsById.get(request.id) ?? [], record),
    ),
    ...checkRuns(record),
    ...checkLeaves(record),
    ...checkFinal(record),
  ];
}

function checkRequest(
  request: RequestRecord,
  runs: readonly ObservedRun[],
  record: SoakObservations,
): string[] {
  const broken: string[] = [];
  const report = (promise: string) =>
    broken.push(`${promise}: ${JSON.stringify({request, runs})}`);
  const {outcome, isUnsafe} = request;
  if (isUnsafe && runs.length > 1) report('ran more than once');
  if (outcome.kind === 'answered') {
    const {status, signature, body} = outcome;
    const isWhole =
      signature !== undefined && body === makeResponseBody(request.id);
    if (status < 300 && !isWhole) report('an answer is not whole');
    if (isUnsafe && notRunStatuses.has(status) && runs.length > 0) {
      report('told as not run, and was run');
    }
    if (status >= 300 && status < 500 && !notRunStatuses.has(status)) {
      report('a proper request was denied');
    }
  }
  const took = request.endedAt - request.sentAt;
  const slackMs = answerSlackMs + record.lagMs + measureWait(request, record);
  const isLate = took > callerDeadlineMs + slackMs;
  const isHeld = outcome.kind === 'silence' || outcome.kind === 'answered';
  if (isHeld && isLate && !isDuring(request, record, ['killed', 'paused'])) {
    report('answered too late, or not at all');
  }
  if (outcome.kind === 'broken') {
    const isExcused =
      isDuring(request, record, ['killed']) ||
      // The request crossed the close of its connection: it was not read.
      (isDuring(request, record, ['stopping', 'gone']) && runs.length === 0);
    if (!isExcused) report('the connection ended without an answer');
  }
  return broken;
}

/** Time that the node of a request, and the one other that waited longest, got no processor while it was open. */
function measureWait(
  {node, sentAt, endedAt}: RequestRecord,
  {processorWaits}: SoakObservations,
): Millis {
  const sums = new Map<number, Millis>();
  for (const wait of processorWaits) {
    if (wait.atMs < sentAt || wait.atMs > endedAt) continue;
    sums.set(wait.node, (sums.get(wait.node) ?? 0) + wait.waitedMs);
  }
  const own = sums.get(node) ?? 0;
  sums.delete(node);
  return own + Math.max(0, ...sums.values());
}

/** Whether something of the kinds befell the node of a request while it was open. */
function isDuring(
  {node, sentAt, endedAt}: RequestRecord,
  {spans}: SoakObservations,
  kinds: readonly NodeDisruption['kind'][],
): boolean {
  return spans.some(
    span =>
      span.node === node &&
      kinds.includes(span.kind) &&
      span.fromMs <= endedAt &&
      span.untilMs >= sentAt,
  );
}

function checkRuns({
  runs,
  requests,
  finalRequests,
}: SoakObservations): readonly string[] {
  const known = new Map(
    [...requests, ...finalRequests].map(request => [request.id, request]),
  );
  return runs.flatMap(run => {
    const request = known.get(run.id);
    const isSame =
      request?.path === run.path &&
      (run.method === 'POST') === request.isUnsafe;
    return isSame ? [] : [`nobody sent this: ${JSON.stringify(run)}`];
  });
}

function checkLeaves({
  leaves,
  runs,
  spans,
}: SoakObservations): readonly string[] {
  return leaves.flatMap(({server, node, ackedAt}) => {
    const isNewProcess = spans.some(
      span =>
        span.node === node && span.kind === 'gone' && span.untilMs > ackedAt,
    );
    if (isNewProcess) return [];
    const late = runs.filter(
      run => run.server === server && run.atMs > ackedAt + drainMs,
    );
    return late.map(
      run => `work for a server that leaves: ${JSON.stringify({ackedAt, run})}`,
    );
  });
}

function checkFinal({finalRequests}: SoakObservations): readonly string[] {
  const served = finalRequests.filter(
    ({outcome}) => outcome.kind === 'answered' && outcome.status === 200,
  ).length;
  const asked = finalRequests.filter(
    ({outcome}) => outcome.kind !== 'abandoned',
  ).length;
  if (served >= finalShare * asked) return [];
  const failed = finalRequests.find(
    ({outcome}) => outcome.kind === 'answered' && outcome.status !== 200,
  );
  return [
    `${served} of ${asked} served after the faults: ${JSON.stringify(failed)}`,
  ];
}
