import {Millis} from '../../src/base/index.js';
import {RequestRecord, callerDeadlineMs} from './load_generator.js';

/** One execution of a request, as recorded by the stand-in of the backend server. */
export interface ObservedRun {
  readonly id: string;
  readonly server: string;
  readonly node: number;
  readonly method: string;
  readonly path: string;
  readonly atMs: Millis;
}

/** A period in which the process of a node was stopping, paused or not running. */
export interface NodeDisruption {
  readonly node: number;
  /** `stopping` lasts from the signal to the exit of the process, `gone` until the next process is ready. */
  readonly kind: 'stopping' | 'killed' | 'paused' | 'gone';
  readonly fromMs: Millis;
  readonly untilMs: Millis;
}

/** Time that the main thread of a node waited for a processor, as counted by the kernel. */
export interface ProcessorWait {
  readonly node: number;
  readonly atMs: Millis;
  readonly waitedMs: Millis;
}

/** When a guard acknowledged that its backend server is draining. */
export interface AcknowledgedDrain {
  readonly server: string;
  readonly node: number;
  readonly ackedAt: Millis;
}

/** Everything that was recorded during a run. */
export interface SoakObservations {
  readonly requests: readonly RequestRecord[];
  readonly runs: readonly ObservedRun[];
  readonly spans: readonly NodeDisruption[];
  readonly leaves: readonly AcknowledgedDrain[];
  readonly processorWaits: readonly ProcessorWait[];
  /** Unexpected exits of processes, and stops that took too long. */
  readonly processFaults: readonly string[];
  /** Longest delay of the event loop of the soak itself, by which its times may be off. */
  readonly lagMs: Millis;
  /** Requests that were sent after all faults had ended. */
  readonly finalRequests: readonly RequestRecord[];
}

/** Statuses that guarantee that a request has not run and never will. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Time after the caller's deadline within which the final response must arrive. */
const answerSlackMs: Millis = 500;
/** Time after an acknowledged drain within which a backend server may still receive new requests. */
const maxDrainMs: Millis = 2500;
/** Share of the requests that must be served once all faults have ended. */
const minFinalServedShare = 0.9;

/** Returns the response body of a backend server for a request. */
export function makeResponseBody(id: string): string {
  return `answer to ${id} ${'.'.repeat(200)}`;
}

/** Checks the guarantees; returns one line for each violation. */
export function listViolations(
  observations: SoakObservations,
): readonly string[] {
  const runsById = new Map<string, ObservedRun[]>();
  for (const run of observations.runs) {
    const runs = runsById.get(run.id);
    if (runs) runs.push(run);
    else runsById.set(run.id, [run]);
  }
  return [
    ...observations.processFaults,
    ...observations.requests.flatMap(request =>
      checkRequest(request, runsById.get(request.id) ?? [], observations),
    ),
    ...checkRuns(observations),
    ...checkDrains(observations),
    ...checkRecovery(observations),
  ];
}

function checkRequest(
  request: RequestRecord,
  runs: readonly ObservedRun[],
  observations: SoakObservations,
): string[] {
  const violations: string[] = [];
  const report = (violation: string) =>
    violations.push(`${violation}: ${JSON.stringify({request, runs})}`);
  const {outcome, isUnsafe} = request;
  if (isUnsafe && runs.length > 1) report('ran more than once');
  if (outcome.kind === 'answered') {
    const {status, signature, body} = outcome;
    const isComplete =
      signature !== undefined && body === makeResponseBody(request.id);
    if (status < 300 && !isComplete)
      report('a response is incomplete or unsigned');
    if (isUnsafe && notRunStatuses.has(status) && runs.length > 0) {
      report('reported as not run, but has run');
    }
    if (status >= 300 && status < 500 && !notRunStatuses.has(status)) {
      report('a valid request was rejected');
    }
  }
  const durationMs = request.endedAt - request.sentAt;
  const slackMs =
    answerSlackMs +
    observations.lagMs +
    measureProcessorWait(request, observations);
  const isLate = durationMs > callerDeadlineMs + slackMs;
  const hasWaited = outcome.kind === 'silence' || outcome.kind === 'answered';
  if (
    hasWaited &&
    isLate &&
    !hasDisruption(request, observations, ['killed', 'paused'])
  ) {
    report('the response came too late or not at all');
  }
  if (outcome.kind === 'broken') {
    const isExcused =
      hasDisruption(request, observations, ['killed']) ||
      // The node closed the connection while the request was in transit, so it was not read.
      (hasDisruption(request, observations, ['stopping', 'gone']) &&
        runs.length === 0);
    if (!isExcused) report('the connection closed without a complete response');
  }
  return violations;
}

/**
 * Time that nodes waited for a processor while the request was open: that of its own node plus that of the other node
 * that waited longest.
 */
function measureProcessorWait(
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

/** Whether a disruption of one of these kinds affected the node of a request while it was open. */
function hasDisruption(
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
  const requestsById = new Map(
    [...requests, ...finalRequests].map(request => [request.id, request]),
  );
  return runs.flatMap(run => {
    const request = requestsById.get(run.id);
    const isSame =
      request?.path === run.path &&
      (run.method === 'POST') === request.isUnsafe;
    return isSame
      ? []
      : [`ran a request that no caller sent: ${JSON.stringify(run)}`];
  });
}

function checkDrains({
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
      run => run.server === server && run.atMs > ackedAt + maxDrainMs,
    );
    return late.map(
      run =>
        `request sent to a draining server: ${JSON.stringify({ackedAt, run})}`,
    );
  });
}

function checkRecovery({finalRequests}: SoakObservations): readonly string[] {
  const served = finalRequests.filter(
    ({outcome}) => outcome.kind === 'answered' && outcome.status === 200,
  ).length;
  const awaited = finalRequests.filter(
    ({outcome}) => outcome.kind !== 'abandoned',
  ).length;
  if (served >= minFinalServedShare * awaited) return [];
  const failed = finalRequests.find(
    ({outcome}) => outcome.kind === 'answered' && outcome.status !== 200,
  );
  return [
    `${served} of ${awaited} requests served after the faults had ended: ${JSON.stringify(failed)}`,
  ];
}
