import test from 'ava';
import {asId, BackendServerId, ServiceId} from '../../src/base/index.js';
import {ServerVerdict} from '../../src/dispatch/index.js';
import {GuardState} from '../../src/mesh/index.js';
import {StateUpdateThrottle} from '../../src/sidecar/state_update_throttle.js';

function makeState(verdict: ServerVerdict): GuardState {
  return {
    kind: 'open',
    server: asId<BackendServerId>('s1'),
    service: asId<ServiceId>('bench'),
    slots: 3,
    verdict,
  };
}

test('a verdict that flickers is told at most each 300 ms, a departure at once', t => {
  const news = new StateUpdateThrottle();
  t.true(news.admit(makeState('sound'), 0));
  t.false(news.admit(makeState('doubtful'), 100));
  t.false(news.admit(makeState('sound'), 150));
  t.true(news.admit(makeState('doubtful'), 400));
  t.true(news.admit({kind: 'closed', reason: 'leaving'}, 410));
});
