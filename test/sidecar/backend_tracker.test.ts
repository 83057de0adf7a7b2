import test from 'ava';
import {asId, BackendServerId, ServiceId} from '../../src/base/index.js';
import {BackendTracker, BackendReport} from '../../src/sidecar/index.js';

// Guards against requests to a backend process that has left: its reports may arrive late, after its shutdown or after
// reports of its successor, and would make it current again.

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

test('a late report does not revive a draining server', t => {
  const tracker = new BackendTracker({address});
  tracker.applyReport(makeReport({sequence: 1}), 0);
  t.is(
    tracker.applyReport(makeReport({sequence: 3, phase: 'draining'}), 0),
    'leaving',
  );
  t.is(tracker.applyReport(makeReport({sequence: 2}), 0), 'stale');
  t.is(tracker.getReady(), undefined);
});

test('a late report of an exited process does not replace its successor', t => {
  const tracker = new BackendTracker({address});
  const next = makeReport({
    server: asId<BackendServerId>('s2'),
    startedAtMs: 2000,
  });
  tracker.applyReport(next, 0);
  t.is(tracker.applyReport(makeReport({sequence: 99}), 0), 'stale');
  t.is(tracker.getReady()?.server, next.server);
});

test('a server that restarts with the same id begins a new report sequence', t => {
  const tracker = new BackendTracker({address});
  tracker.applyReport(makeReport({sequence: 50}), 0);
  const restarted = makeReport({sequence: 1, startedAtMs: 5000});
  t.is(tracker.applyReport(restarted, 0), 'new');
});

test('a report with another address is rejected as foreign', t => {
  const tracker = new BackendTracker({address});
  t.is(tracker.applyReport(makeReport({address: '10.0.0.2:80'}), 0), 'foreign');
  t.is(tracker.getReady(), undefined);
});

test('a departure stored by an earlier process of the node applies to the next one', t => {
  const tracker = new BackendTracker({address});
  tracker.recordDeparture({
    server: asId<BackendServerId>('s1'),
    startedAtMs: 1000,
  });
  t.is(tracker.applyReport(makeReport({sequence: 9}), 0), 'stale');
  const successor = makeReport({
    server: asId<BackendServerId>('s2'),
    startedAtMs: 1500,
  });
  t.is(tracker.applyReport(successor, 0), 'new');
});

test('a departure that becomes known after a late report of its server ends the use of the server', t => {
  const tracker = new BackendTracker({address});
  const departure = {server: asId<BackendServerId>('s1'), startedAtMs: 1000};
  tracker.applyReport(makeReport({startedAtMs: 1000, sequence: 9}), 0);
  t.true(tracker.recordDeparture(departure));
  t.is(tracker.getReady(), undefined);
  t.false(tracker.recordDeparture(departure));
  const late = makeReport({startedAtMs: 1000, sequence: 10});
  t.is(tracker.applyReport(late, 0), 'stale');
});

test('a server that states no start time stays away after its departure became known', t => {
  const tracker = new BackendTracker({address});
  const earlier = {server: asId<BackendServerId>('s0'), startedAtMs: 500};
  tracker.recordDeparture(earlier);
  const report = makeReport({startedAtMs: 0});
  tracker.applyReport(report, 0);
  t.true(tracker.recordDeparture(report));
  t.is(tracker.applyReport({...report, sequence: 20}, 0), 'stale');
  t.is(tracker.getReady(), undefined);
});

test('a departure of an earlier process leaves the current one in use', t => {
  const tracker = new BackendTracker({address});
  tracker.applyReport(makeReport({startedAtMs: 2000}), 0);
  const departure = {server: asId<BackendServerId>('s1'), startedAtMs: 1000};
  t.false(tracker.recordDeparture(departure));
  t.not(tracker.getReady(), undefined);
});

test('a server that deregisters without draining gets no more requests', t => {
  const tracker = new BackendTracker({address});
  tracker.applyReport(makeReport(), 0);
  t.true(
    tracker.recordDeregistration(
      {server: asId<BackendServerId>('s1'), startedAtMs: undefined},
      0,
    ),
  );
  t.is(tracker.getReady(), undefined);
  t.is(tracker.applyReport(makeReport({sequence: 2}), 0), 'stale');
});

test('a process with an earlier start time, after the clock was set back, takes over once the current one is silent', t => {
  const tracker = new BackendTracker({address});
  tracker.applyReport(makeReport({startedAtMs: 5000, sequence: 7}), 0);
  const next = {server: asId<BackendServerId>('s2'), startedAtMs: 3000};
  t.is(tracker.applyReport(makeReport({...next, sequence: 1}), 7000), 'stale');
  t.is(tracker.applyReport(makeReport({...next, sequence: 2}), 8500), 'stale');
  t.is(tracker.applyReport(makeReport({...next, sequence: 3}), 10_000), 'new');
});

test('late reports of an exited process are rejected while the current one reports', t => {
  const tracker = new BackendTracker({address});
  const next = {server: asId<BackendServerId>('s2'), startedAtMs: 5000};
  for (let sequence = 1; sequence <= 5; sequence += 1) {
    const now = sequence * 1500;
    tracker.applyReport(makeReport({...next, sequence}), now);
    t.is(tracker.applyReport(makeReport({sequence}), now + 10), 'stale');
  }
});

// Guards against forgetting what was acknowledged (DRAIN of the review, case 2) and against a late report that changes the
// service of the VM (UNASKED of the review, case 4).

const server = asId<BackendServerId>('s1');

/** Starts the tracker of the next process of a node, with what the one before has stored. */
function restartTracker(tracker: BackendTracker): BackendTracker {
  const next = new BackendTracker({address});
  const {last, all} = tracker.getDepartures();
  if (last) next.recordDeparture(last);
  next.recordDepartures(all);
  return next;
}

test('a server that deregisters before it has reported is not revived by a late report, also after a restart', t => {
  const tracker = new BackendTracker({address});
  t.false(tracker.recordDeregistration({server, startedAtMs: 1000}, 5000));
  t.is(tracker.applyReport(makeReport({sequence: 9}), 5100), 'stale');
  const next = restartTracker(tracker);
  t.is(next.applyReport(makeReport({sequence: 10}), 6000), 'stale');
  const restarted = makeReport({startedAtMs: 5500, sequence: 1});
  t.is(next.applyReport(restarted, 6100), 'new');
});

test('a deregistration without a start time covers what has started so far, and no later process', t => {
  const tracker = new BackendTracker({address});
  tracker.recordDeregistration({server, startedAtMs: undefined}, 5000);
  for (let sequence = 1; sequence <= 6; sequence += 1) {
    const report = makeReport({startedAtMs: 4900, sequence});
    t.is(tracker.applyReport(report, 5000 + sequence * 1500), 'stale');
  }
  const restarted = makeReport({startedAtMs: 5001, sequence: 1});
  t.is(tracker.applyReport(restarted, 15_000), 'new');
});

test('a deregistration of another server leaves the current one in use', t => {
  const tracker = new BackendTracker({address});
  tracker.applyReport(makeReport(), 0);
  const other = asId<BackendServerId>('odd');
  tracker.recordDeregistration({server: other, startedAtMs: 900_000}, 10);
  t.is(tracker.applyReport(makeReport({sequence: 2}), 20), 'refreshed');
  t.is(restartTracker(tracker).applyReport(makeReport(), 30), 'new');
});

test('the first of two servers that left one address stays away although its start time is the later one', t => {
  const tracker = new BackendTracker({address});
  tracker.applyReport(makeReport({startedAtMs: 5000}), 0);
  tracker.recordDeregistration({server, startedAtMs: 5000}, 10);
  const second = {server: asId<BackendServerId>('s2'), startedAtMs: 3000};
  for (const [sequence, now] of [
    [1, 7000],
    [2, 8500],
    [3, 10_000],
  ] as const) {
    tracker.applyReport(makeReport({...second, sequence}), now);
  }
  t.is(tracker.getReady()?.server, second.server);
  tracker.recordDeregistration(second, 10_100);
  for (const current of [tracker, restartTracker(tracker)]) {
    const late = makeReport({startedAtMs: 5000, sequence: 99});
    t.is(current.applyReport(late, 10_200), 'stale');
    t.is(current.getReady(), undefined);
  }
});

test('late reports of a departed process never take over, however many arrive', t => {
  const before = new BackendTracker({address});
  before.applyReport(makeReport(), 0);
  before.recordDeregistration({server, startedAtMs: 1000}, 10);
  const tracker = restartTracker(before);
  for (let sequence = 2; sequence <= 9; sequence += 1) {
    const report = makeReport({sequence});
    t.is(tracker.applyReport(report, sequence * 2000), 'stale');
  }
});

test('reports that arrive together do not take over', t => {
  const tracker = new BackendTracker({address});
  tracker.applyReport(makeReport({startedAtMs: 5000}), 0);
  const late = {server: asId<BackendServerId>('s0'), startedAtMs: 400};
  for (let sequence = 1; sequence <= 5; sequence += 1) {
    const report = makeReport({...late, sequence});
    t.is(tracker.applyReport(report, 9000 + sequence), 'stale');
  }
});

test('a shutdown reported by a process that is not the current one is recorded', t => {
  const tracker = new BackendTracker({address});
  const current = {server: asId<BackendServerId>('s2'), startedAtMs: 2000};
  tracker.applyReport(makeReport(current), 0);
  const leaving = makeReport({phase: 'draining', sequence: 7});
  t.is(tracker.applyReport(leaving, 10), 'departed');
  t.is(tracker.getReady()?.server, current.server);
  t.is(restartTracker(tracker).applyReport(makeReport(), 20), 'stale');
});

test('a process that claims to start in the far future does not replace the current one', t => {
  const tracker = new BackendTracker({address});
  tracker.applyReport(makeReport(), 0);
  const odd = makeReport({startedAtMs: Number.MAX_SAFE_INTEGER});
  t.is(tracker.applyReport(odd, 10), 'foreign');
  t.is(tracker.applyReport(makeReport({sequence: 2}), 20), 'refreshed');
});

const own = asId<ServiceId>('bench');
const other = asId<ServiceId>('other');

test('a late report of another service than that of the settings is foreign; a process that started since takes over', t => {
  const tracker = new BackendTracker({address, service: own}, 3000);
  const late = makeReport({service: other, startedAtMs: 1000});
  t.is(tracker.applyReport(late, 4000), 'foreign');
  t.is(tracker.getService(), own);
  t.is(tracker.applyReport(makeReport({startedAtMs: 2000}), 4100), 'new');
  const next = {server: asId<BackendServerId>('s2'), startedAtMs: 5000};
  const successor = makeReport({...next, service: other});
  t.is(tracker.applyReport(successor, 6000), 'new');
  t.is(tracker.getService(), other);
  const lateOwn = makeReport({startedAtMs: 2000, sequence: 2});
  t.is(tracker.applyReport(lateOwn, 6100), 'stale');
  t.is(tracker.getService(), other);
});

test('a service that the settings name anew decides at once, and late reports of the one before are foreign', t => {
  const tracker = new BackendTracker({address, service: own}, 0);
  tracker.applyReport(makeReport(), 1100);
  t.true(tracker.updateSettings({address, service: other}, 2000));
  t.is(tracker.getService(), other);
  t.is(tracker.getReady(), undefined);
  t.is(tracker.applyReport(makeReport({sequence: 5}), 2100), 'foreign');
  const next = {server: asId<BackendServerId>('s2'), startedAtMs: 1900};
  const successor = makeReport({...next, service: other});
  t.is(tracker.applyReport(successor, 2200), 'new');
  t.false(tracker.updateSettings({address, service: other}, 9000));
});

test('a process of another service that no start time shows to be newer is used after three reports of its own', t => {
  const tracker = new BackendTracker({address, service: own}, 50_000);
  const odd = {service: other, startedAtMs: 40_000};
  const results = [0, 1500, 3000, 4500, 6000, 7500].map((now, index) =>
    tracker.applyReport(makeReport({...odd, sequence: index + 1}), now),
  );
  t.deepEqual(results.slice(0, 5), Array(5).fill('foreign'));
  t.is(results[5], 'new');
});
