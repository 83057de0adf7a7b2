import test from 'ava';
import {
  asId,
  BackendServerId,
  ManualClock,
  NodeId,
} from '../../src/base/index.js';
import {MeshMessage} from '../../src/mesh/index.js';
import {
  CallEvent,
  GuardCall,
  GuardCalls,
} from '../../src/sidecar/guard_calls.js';
import {makeChannel, makeSlotMessage} from './builders.js';

// Guards against requests that are lost or run twice when the link between an entry and a guard breaks: the entry must
// know which of them may have run, and responses are resent over the new link.

const node = asId<NodeId>('n2');
const server = asId<BackendServerId>('s2');
const news = {free: 1, waiting: 0};

/** Creates a `GuardCalls` with a link to one guard that records the messages sent. */
function makeCalls() {
  const clock = new ManualClock();
  const sent: MeshMessage[] = [];
  const events: CallEvent[] = [];
  const channel = makeChannel(message => void sent.push(message));
  const link = {isUp: true};
  const calls = new GuardCalls(
    () => (link.isUp ? channel : undefined),
    () => undefined,
    clock,
  );
  const open = () =>
    calls.open(node, makeSlotMessage(), (_call, event) => events.push(event));
  const send = (call: GuardCall) =>
    calls.send(call, {
      method: 'POST',
      target: '/x',
      headers: [],
      body: [],
      caller: undefined,
      deadlineInMs: 1000,
    });
  return {calls, clock, sent, events, link, open, send};
}

test('a slot request lost with its link is reported as refused, so its request was not run', t => {
  const {calls, events, open} = makeCalls();
  open();
  calls.onLinkLost(node);
  t.deepEqual(events, [{kind: 'refused', reason: 'link-lost'}]);
});

test('a request that the guard never received is reported as not run after reconnecting', t => {
  const {calls, events, open, send} = makeCalls();
  const lostCall = open();
  send(lostCall);
  const heldCall = open();
  send(heldCall);
  calls.onLinkLost(node);
  calls.onHeldExchanges(node, [heldCall.id]);
  t.is(events.length, 1);
  const [event] = events;
  t.true(event.kind === 'failed' && !event.mayHaveRun);
});

test('parts of a response that are resent over a new link are delivered once', t => {
  const {calls, events, open, send} = makeCalls();
  const call = open();
  send(call);
  const head = {
    kind: 'head',
    id: call.id,
    seq: 0,
    status: 200,
    headers: [],
  } as const;
  calls.handle(node, head);
  calls.onLinkLost(node);
  calls.onHeldExchanges(node, [call.id]);
  calls.handle(node, head);
  calls.handle(node, {kind: 'end', id: call.id, seq: 1, ranMs: 5, news});
  t.deepEqual(
    events.map(({kind}) => kind),
    ['head', 'end'],
  );
});

test('a request at a guard that has restarted may have run', t => {
  const {calls, events, open, send} = makeCalls();
  send(open());
  calls.onRestart(node);
  const [event] = events;
  t.true(event.kind === 'failed' && event.mayHaveRun);
});

test('a request whose link is not re-established in time fails as one that may have run', async t => {
  const {calls, clock, events, link, open, send} = makeCalls();
  send(open());
  link.isUp = false;
  calls.onLinkLost(node);
  await clock.advance(2900);
  t.is(events.length, 0);
  await clock.advance(200);
  const [event] = events;
  t.true(event.kind === 'failed' && event.mayHaveRun);
});

test('a slot that is granted too late is released', t => {
  const {calls, sent, open} = makeCalls();
  const call = open();
  calls.close(call);
  calls.handle(node, {kind: 'granted', id: call.id, server, news});
  t.deepEqual(
    sent.map(({kind}) => kind),
    ['request', 'withdraw', 'withdraw'],
  );
});

test('a response of which parts are missing after a new link fails and its run is cancelled', t => {
  const {calls, sent, events, open, send} = makeCalls();
  const call = open();
  calls.handle(node, {kind: 'granted', id: call.id, server, news});
  send(call);
  const part = {id: call.id, status: 200, headers: []};
  calls.handle(node, {kind: 'head', seq: 0, ...part});
  calls.handle(node, {
    kind: 'chunk',
    id: call.id,
    seq: 2,
    bytes: Buffer.from('late part'),
  });
  const last = events.at(-1);
  t.true(last?.kind === 'failed' && last.mayHaveRun);
  t.deepEqual(sent.at(-1), {kind: 'cancel', id: call.id});
});
