import test from 'ava';
import {asId, NodeId, ServiceId} from '../../src/base/index.js';
import {
  findWantedRequests,
  IdleReports,
  IdleReportSchedule,
} from '../../src/dispatch/index.js';

const service = asId<ServiceId>('s');
const [a, b] = [asId<NodeId>('a'), asId<NodeId>('b')];
const canAsk = () => true;

test('a server wants requests before it was idle for 2 s, a faulty one those that may be repeated', t => {
  t.is(findWantedRequests('sound', 500), undefined);
  t.is(findWantedRequests('sound', 1500), 'any');
  t.is(findWantedRequests('doubtful', 700), 'idempotent');
  t.is(findWantedRequests('doubtful', 1900), 'any');
  t.is(findWantedRequests('suspended', 300), undefined);
  t.is(findWantedRequests('suspended', 60_000), 'idempotent');
});

test('an idle server is reported repeatedly, with a pause', t => {
  const schedule = new IdleReportSchedule();
  const reports = [];
  for (let now = 1000; now < 3000; now += 100) {
    if (schedule.claimReport('sound', now, now)) reports.push(now);
  }
  t.deepEqual(reports, [1000, 1500, 2000, 2500]);
});

test('each report is used by one request, the oldest first', t => {
  const reports = new IdleReports();
  reports.record(service, a, 'any', 0);
  reports.record(service, b, 'any', 100);
  reports.record(service, a, 'any', 200);
  t.is(reports.claim(service, false, canAsk, 300), b);
  t.is(reports.claim(service, false, canAsk, 300), a);
  t.is(reports.claim(service, false, canAsk, 300), undefined);
});

test('a request that must not be repeated is no trial of a server that wants one that may be', t => {
  const reports = new IdleReports();
  reports.record(service, a, 'idempotent', 0);
  t.is(reports.claim(service, false, canAsk, 100), undefined);
  t.is(reports.claim(service, true, canAsk, 100), a);
});

test('old reports and those of guards that cannot be asked are not used', t => {
  const reports = new IdleReports();
  reports.record(service, a, 'any', 0);
  t.is(
    reports.claim(service, true, node => node !== a, 100),
    undefined,
  );
  t.is(reports.claim(service, true, canAsk, 5000), undefined);
});
