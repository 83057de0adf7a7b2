import test from 'ava';
import {asId, BackendServerId, ServiceId} from '../../src/base/index.js';
import {BackendTracker, BackendReport} from '../../src/sidecar/index.js';

const address = '10.0.0.1:80';

function makeReport(changes: Partial<BackendReport> = {}): BackendReport {
  return {
    server: asId<BackendServerId>('s1'),
    service: asId<ServiceId>('bench'),
    address,
    slots: 3,
    phase: 'ready',
    warmupMs: 0,
    startedAtMs: 1000,
    sequence: 1,
    ...changes,
  };
}

test('a late report does not bring back a server that drains', t => {
  const record = new BackendTracker(address);
  record.applyReport(makeReport({sequence: 1}), 0);
  t.is(
    record.applyReport(makeReport({sequence: 3, phase: 'draining'}), 0),
    'leaving',
  );
  t.is(record.applyReport(makeReport({sequence: 2}), 0), 'stale');
  t.is(record.getReady(), undefined);
});

test('a report of an ended process that comes late does not replace its successor', t => {
  const record = new BackendTracker(address);
  const next = makeReport({
    server: asId<BackendServerId>('s2'),
    startedAtMs: 2000,
  });
  record.applyReport(next, 0);
  t.is(record.applyReport(makeReport({sequence: 99}), 0), 'stale');
  t.is(record.getReady()?.server, next.server);
});

test('a server that starts again under its id counts its reports anew', t => {
  const record = new BackendTracker(address);
  record.applyReport(makeReport({sequence: 50}), 0);
  const restarted = makeReport({sequence: 1, startedAtMs: 5000});
  t.is(record.applyReport(restarted, 0), 'new');
});

test('a report for another address names no server to use', t => {
  const record = new BackendTracker(address);
  t.is(record.applyReport(makeReport({address: '10.0.0.2:80'}), 0), 'foreign');
  t.is(record.getReady(), undefined);
});

test('a departure kept by an earlier process of the node binds the next one', t => {
  const record = new BackendTracker(address);
  record.loadDeparture({
    server: asId<BackendServerId>('s1'),
    startedAtMs: 1000,
  });
  t.is(record.applyReport(makeReport({sequence: 9}), 0), 'stale');
  const successor = makeReport({
    server: asId<BackendServerId>('s2'),
    startedAtMs: 1500,
  });
  t.is(record.applyReport(successor, 0), 'new');
});

test('a server that says goodbye without draining gets no more work', t => {
  const record = new BackendTracker(address);
  record.applyReport(makeReport(), 0);
  t.true(record.recordDeregistration(asId<BackendServerId>('s1')));
  t.is(record.getReady(), undefined);
  t.is(record.applyReport(makeReport({sequence: 2}), 0), 'stale');
});

test('a process that started when the clock was set back is believed once the known one is silent', t => {
  const record = new BackendTracker(address);
  record.applyReport(makeReport({startedAtMs: 5000, sequence: 7}), 0);
  const next = {server: asId<BackendServerId>('s2'), startedAtMs: 3000};
  t.is(record.applyReport(makeReport({...next, sequence: 1}), 7000), 'stale');
  t.is(record.applyReport(makeReport({...next, sequence: 2}), 8500), 'stale');
  t.is(record.applyReport(makeReport({...next, sequence: 3}), 10_000), 'new');
});

test('reports of an ended process that come late one by one are not believed while the known one reports', t => {
  const record = new BackendTracker(address);
  const next = {server: asId<BackendServerId>('s2'), startedAtMs: 5000};
  for (let sequence = 1; sequence <= 5; sequence += 1) {
    const now = sequence * 1500;
    record.applyReport(makeReport({...next, sequence}), now);
    t.is(record.applyReport(makeReport({sequence}), now + 10), 'stale');
  }
});
