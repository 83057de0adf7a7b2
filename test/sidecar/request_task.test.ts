import {ServerResponse} from 'node:http';
import {Registry} from 'prom-client';
import test from 'ava';
import {
  asId,
  BackendServerId,
  ByteBudget,
  DataCentreId,
  NodeId,
  openSilentLogger,
  RequestId,
  RouteId,
  ServiceId,
  systemClock,
} from '../../src/base/index.js';
import {IdleReports, RunDurationEstimator} from '../../src/dispatch/index.js';
import {GuardMessage} from '../../src/mesh/index.js';
import {
  CallerResponse,
  LocalErrorCode,
} from '../../src/sidecar/caller_response.js';
import {GuardCalls} from '../../src/sidecar/guard_calls.js';
import {buildMetrics} from '../../src/sidecar/metrics.js';
import {RequestTask} from '../../src/sidecar/request_task.js';
import {makeChannel} from './builders.js';

// Guards against sending a non-idempotent request again although it may have run, and against failing a request that no
// server has run.

const dataCentre = asId<DataCentreId>('z');
const service = asId<ServiceId>('bench');
const server = asId<BackendServerId>('s');
const news = {free: 1, waiting: 0};

/** Records the status or error that the caller would get. */
class RecordingResponse extends CallerResponse {
  outcome: number | LocalErrorCode | undefined;

  constructor() {
    super({} as ServerResponse, undefined, () => false);
  }

  override sendBuffered(status: number): void {
    this.outcome = status;
  }

  override sendError(error: LocalErrorCode): void {
    this.outcome = error;
  }
}

/** Runs a non-idempotent request against two guards that grant all slots; `onSend` returns their replies to requests. */
async function run(
  onSend: (id: number, node: NodeId, sends: number) => readonly GuardMessage[],
  targetMs = 300,
  timeoutMs = 1000,
) {
  let sends = 0;
  const nodes = ['n1', 'n2'].map(name => asId<NodeId>(name));
  const openChannel = (node: NodeId) =>
    makeChannel(message => {
      setImmediate(() => {
        if (message.kind === 'request') {
          calls.handle(node, {kind: 'granted', id: message.id, server, news});
        } else if (message.kind === 'send') {
          sends += 1;
          for (const part of onSend(message.id, node, sends)) {
            calls.handle(node, part);
          }
        }
      });
    });
  const calls = new GuardCalls(openChannel, () => undefined, systemClock);
  const response = new RecordingResponse();
  const now = systemClock.getTime();
  const task = new RequestTask(
    {
      requestId: asId<RequestId>('r1'),
      route: {
        id: asId<RouteId>('route'),
        host: 'h',
        pathPrefix: '/',
        isIdempotent: false,
        isBulk: false,
        timeoutMs,
        targetMs,
        priority: 1,
        maxAttempts: 2,
        shares: [{service, weight: 1}],
      },
      service,
      method: 'POST',
      target: '/',
      headers: [],
      body: [],
      receivedAt: now,
      deadlineAt: now + timeoutMs,
    },
    response,
    {
      calls,
      idleReports: new IdleReports(),
      runDurations: new RunDurationEstimator(),
      responses: new ByteBudget(1024 * 1024),
      metrics: buildMetrics(new Registry()),
      dataCentre,
      getCallerService: () => undefined,
      getShutdownDeadline: () => Infinity,
      getNoticeEnd: () => Infinity,
      listGuards: () =>
        nodes.map(node => ({
          node,
          dataCentre,
          verdict: 'sound',
          slots: 1,
          freeSlots: 1,
          queuedRequests: 0,
          slotsAgeMs: 0,
          unansweredMs: 0,
          replyTimeMs: 0,
        })),
    },
    systemClock,
    Math.random,
    openSilentLogger(),
  );
  await task.run();
  return {
    outcome: response.outcome,
    sends,
    tookMs: systemClock.getTime() - now,
  };
}

const makeResponse = (id: number): readonly GuardMessage[] => [
  {kind: 'head', id, seq: 0, status: 200, headers: []},
  {kind: 'end', id, seq: 1, ranMs: 5, news},
];

test('a grant that expired before the request arrived is not a run: another guard gets the request at once', async t => {
  const {outcome, sends, tookMs} = await run((id, _node, count) =>
    count === 1 ? [{kind: 'refused', id, reason: 'expired'}] : makeResponse(id),
  );
  t.is(outcome, 200);
  t.is(sends, 2);
  t.true(tookMs < 500, String(tookMs));
});

test('a request that may have run is not sent again', async t => {
  const {outcome, sends} = await run(id => [
    {
      kind: 'failed',
      id,
      seq: 0,
      reason: 'broken',
      mayHaveRun: true,
      detail: '',
      news,
    },
  ]);
  t.is(outcome, 'server-failed');
  t.is(sends, 1);
});

test('a refusal by every server is reported as not run', async t => {
  const {outcome, sends} = await run(id => [
    {
      kind: 'failed',
      id,
      seq: 0,
      reason: 'shed',
      mayHaveRun: false,
      detail: '',
      news,
    },
  ]);
  t.is(outcome, 'busy');
  t.is(sends, 2);
});

test('a route whose timeout is far below its target is attempted while no run times are known', async t => {
  const {outcome, sends} = await run(makeResponse, 5000, 400);
  t.is(outcome, 200);
  t.is(sends, 1);
});
