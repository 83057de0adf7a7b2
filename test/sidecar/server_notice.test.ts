import test from 'ava';
import {Registry} from 'prom-client';
import {
  asId,
  BackendServerId,
  openSilentLogger,
  ServiceId,
} from '../../src/base/index.js';
import {RequestRateLimit} from '../../src/dispatch/index.js';
import {
  BackendReport,
  BackendTracker,
} from '../../src/sidecar/backend_tracker.js';
import {buildMetrics} from '../../src/sidecar/metrics.js';
import {NoticeTracker, ServerNotice} from '../../src/sidecar/server_notice.js';

const backend: BackendReport = {
  server: asId<BackendServerId>('s1'),
  service: asId<ServiceId>('bench'),
  address: '10.0.0.1:80',
  slots: 4,
  phase: 'ready',
  warmupMs: 0,
  startedAtMs: 1000,
  sequence: 1,
};
const heardLimit = {server: backend.server, startedAtMs: 1000, perSecond: 2};

function makeNotice(perSecond?: number): ServerNotice {
  const limit =
    perSecond === undefined
      ? ({kind: 'none'} as const)
      : ({kind: 'named', perSecond} as const);
  return {limit, isLeaving: false};
}

function build() {
  const tracker = new BackendTracker({});
  const registry = new Registry();
  const metrics = buildMetrics(registry);
  const logger = openSilentLogger();
  const rateLimit = new RequestRateLimit();
  const notices = new NoticeTracker(tracker, rateLimit, metrics, logger);
  return {tracker, notices, rateLimit, registry};
}

test('a limit heard from another node holds once the process that named it has reported', t => {
  const {tracker, notices, rateLimit} = build();
  t.is(notices.recordHeard({limit: heardLimit}, 'peer', 0), 'none');
  tracker.applyReport(backend, 0);
  notices.recordNewProcess(0);
  t.is(rateLimit.getAllowedRate(), 2);
});

test('a limit heard from another node does not replace what the server itself answered', t => {
  const {tracker, notices, rateLimit} = build();
  tracker.applyReport(backend, 0);
  notices.recordNewProcess(0);
  t.is(notices.recordAnswer(backend, makeNotice(), 0), 'none');
  t.is(notices.recordHeard({limit: heardLimit}, 'peer', 10), 'none');
  t.is(rateLimit.getAllowedRate(), undefined);
});

test('a late answer of an earlier process changes nothing', t => {
  const {tracker, notices, rateLimit} = build();
  tracker.applyReport({...backend, startedAtMs: 2000}, 0);
  notices.recordNewProcess(0);
  const late = {...makeNotice(1), isLeaving: true};
  t.is(notices.recordAnswer(backend, late, 0), 'none');
  t.is(rateLimit.getAllowedRate(), undefined);
  t.not(tracker.getReady(), undefined);
});

test('a malformed limit keeps the one before', t => {
  const {tracker, notices, rateLimit} = build();
  tracker.applyReport(backend, 0);
  t.is(notices.recordAnswer(backend, makeNotice(3), 0), 'limit-changed');
  const malformed = {
    limit: {kind: 'malformed', text: 'x'},
    isLeaving: false,
  } as const;
  t.is(notices.recordAnswer(backend, malformed, 0), 'none');
  t.is(rateLimit.getAllowedRate(), 3);
});

test('metrics show a limit, its age and what the guard allows, and nothing after it', async t => {
  const {tracker, notices, registry} = build();
  tracker.applyReport(backend, 0);
  notices.recordAnswer(backend, makeNotice(0), 0);
  notices.reportLimit(1500);
  const text = await registry.metrics();
  t.regex(text, /server_limit_per_second\{kind="named"\} 0\n/);
  t.regex(text, /server_limit_per_second\{kind="allowed"\} 0\.25\n/);
  t.regex(text, /server_limit_age_seconds 1\.5\n/);
  notices.recordAnswer(backend, makeNotice(), 2000);
  notices.reportLimit(2000);
  t.notRegex(await registry.metrics(), /server_limit_per_second\{/);
});
