import test from 'ava';
import {asId} from '../../src/base/index.js';
import {
  KeyTable,
  makeKeyId,
  makeRequestFingerprint,
  RequestFingerprint,
} from '../../src/once/index.js';
import {
  SimulatedKeyFleet,
  simulatedKeyWindowMs as windowMs,
} from '../../src/testing/index.js';

const outcome = {status: 201, contentType: 'text/plain', body: 'b2s='};
const stream = 'keys-0';

// Guards against keys kept in the memory of one node: the retry goes through another node, after the first node and the
// arbiter were replaced.
test('a retry through another node finds the outcome after replacements', async t => {
  const fleet = new SimulatedKeyFleet(3);
  const held = await fleet.claimGrantedKey(0, 'k');
  t.is(await fleet.claimAndGetKind(1, 'k'), 'pending');
  held.recordOutcome(outcome);
  await fleet.clock.advance(1000);
  for (const index of [0, 1, 2]) fleet.replace(index);
  const decision = await fleet.wait(fleet.claim(2, 'k'));
  t.like(decision, {kind: 'answered', outcome});
});

// Guards against arbiters that decide from memory alone: each would grant a key that the other has granted.
test('two arbiters at once grant a key once', async t => {
  const fleet = new SimulatedKeyFleet(2);
  fleet.memberLists = [['n0'], ['n1']];
  fleet.log.delayMs = 20;
  const both = [fleet.claim(0, 'k'), fleet.claim(1, 'k')];
  const kinds = (await fleet.wait(Promise.all(both))).map(d => d.kind);
  t.deepEqual(kinds.sort(), ['held', 'pending']);
});

// Guards against treating a lost reply as a claim that was not recorded: the key would stay pending for one window.
test('a claim whose append lost its reply is found by its id', async t => {
  const fleet = new SimulatedKeyFleet(2);
  await fleet.claimGrantedKey(0, 'first');
  fleet.log.loseReplies = 1;
  t.is(await fleet.claimAndGetKind(1, 'k'), 'held');
});

// Guards against a key that stays held by a claim that its entry gave up, and against use of the late grant. The entry
// gives up when the log takes longer than it waits, or the arbiter is paused between the append and its response.
test('a claim given up is released and never used', async t => {
  const fleet = new SimulatedKeyFleet(1);
  await fleet.claimGrantedKey(0, 'first');
  fleet.log.delayMs = 3000;
  t.is(await fleet.claimAndGetKind(0, 'k'), 'undecided');
  fleet.log.delayMs = 0;
  await fleet.clock.advance(10_000);
  t.is(await fleet.claimAndGetKind(0, 'k'), 'held');

  const pausedFleet = new SimulatedKeyFleet(2);
  const owner = pausedFleet.findArbiter(stream);
  pausedFleet.nodes[owner].answerMs = 60_000;
  t.is(await pausedFleet.claimAndGetKind(1 - owner, 'k'), 'held');
  const claims = pausedFleet.log
    .listRecords(stream)
    .filter(r => (r.value as {kind: string}).kind === 'claim');
  t.is(claims.length, 2);
});

// Guards against a release that reaches the log before the delayed append of its claim and then has no effect.
test('a release read before its claim voids the claim', t => {
  const table = new KeyTable(windowMs, -Infinity);
  const apply = (offset: number, value: unknown) =>
    table.apply({offset, atMs: offset, value});
  apply(0, {kind: 'release', key: 'k', claim: 'a'});
  apply(1, {kind: 'claim', key: 'k', claim: 'a', print: 'p'});
  apply(2, {kind: 'claim', key: 'k', claim: 'b', print: 'p'});
  t.is(table.checkClaim('k', 'b', 'p').kind, 'granted');
});

// Guards against an arbiter that grants keys from memory while the log is unavailable: grants that are not recorded are
// lost with the node, and a retry would run the request again.
test('no key is granted while the log is down', async t => {
  const fleet = new SimulatedKeyFleet(2);
  await fleet.claimGrantedKey(0, 'first');
  fleet.log.down = true;
  t.is(await fleet.claimAndGetKind(0, 'k'), 'undecided');
  await fleet.clock.advance(20_000);
  t.is(await fleet.claimAndGetKind(1, 'k'), 'undecided');
  fleet.log.down = false;
  await fleet.clock.advance(2000);
  t.is(await fleet.claimAndGetKind(0, 'k'), 'held');
});

// Guards against a node that resumes after a long pause and uses a grant that has expired.
test('a grant that arrives past its deadline is not used', async t => {
  const fleet = new SimulatedKeyFleet(1);
  await fleet.claimGrantedKey(0, 'first');
  fleet.log.delayMs = 300;
  const decision = await fleet.wait(fleet.claim(0, 'k', 350));
  t.is(decision.kind, 'undecided');
  fleet.log.delayMs = 0;
  await fleet.clock.advance(5000);
  const held = await fleet.claimGrantedKey(0, 'k');
  t.true(held.usableUntil <= fleet.clock.getTime() + windowMs / 2);
});

// Guards against deciding keys from a log that lost claims of the window: a retry would run the request again.
test('keys are refused until the retained records cover the window', async t => {
  const fleet = new SimulatedKeyFleet(1);
  (await fleet.claimGrantedKey(0, 'k')).recordOutcome(outcome);
  await fleet.clock.advance(60_000);
  await fleet.claimGrantedKey(0, 'other');
  fleet.log.removeBefore(stream, fleet.clock.getTime() - 30_000);
  fleet.replace(0);
  t.is(await fleet.claimAndGetKind(0, 'k'), 'undecided');
  await fleet.clock.advance(windowMs);
  t.is(await fleet.claimAndGetKind(0, 'k'), 'held');
});

// Guards against a log service that is replaced by an empty one: every key would look free.
test('keys are refused for a window after the log lost everything', async t => {
  const fleet = new SimulatedKeyFleet(2);
  (await fleet.claimGrantedKey(0, 'k')).recordOutcome(outcome);
  await fleet.clock.advance(2000);
  fleet.log.removeAll(stream);
  await fleet.clock.advance(20_000);
  fleet.replace(1 - fleet.findArbiter(stream));
  t.deepEqual(
    [await fleet.claimAndGetKind(0, 'k'), await fleet.claimAndGetKind(1, 'k')],
    ['undecided', 'undecided'],
  );
  await fleet.clock.advance(windowMs);
  t.is(await fleet.claimAndGetKind(0, 'k'), 'held');
});

// Guards against keys that stay refused while only their arbiter is partitioned from the log.
test('an arbiter partitioned from the log is skipped', async t => {
  const fleet = new SimulatedKeyFleet(3);
  await fleet.claimGrantedKey(0, 'first');
  fleet.nodesWithoutLog.add(fleet.findArbiter(stream));
  await fleet.clock.advance(20_000);
  for (const index of [0, 1, 2]) {
    t.is(await fleet.claimAndGetKind(index, `k${index}`), 'held');
  }
});

// Guards against refusing keys after an idle period, when the log holds no recent record.
test('an idle stream within the retention stays decidable', async t => {
  const fleet = new SimulatedKeyFleet(1);
  await fleet.claimGrantedKey(0, 'k');
  await fleet.clock.advance(5 * windowMs);
  fleet.log.removeBefore(stream, fleet.clock.getTime() - 2 * windowMs);
  fleet.replace(0);
  t.is(await fleet.claimAndGetKind(0, 'k'), 'held');
});

// Guards against a reader that starts in the middle of the stream and finds a different holder than a full read does.
test('a late reader skips old records and agrees on the holder', async t => {
  const fleet = new SimulatedKeyFleet(1);
  const values = Array.from({length: 6000}, (_, i) => {
    return {kind: 'claim', key: `k${i}`, claim: `c${i}`, print: 'print'};
  });
  await fleet.log.append(stream, values);
  await fleet.clock.advance(2 * windowMs);
  await fleet.claimGrantedKey(0, 'k5000');
  fleet.replace(0);
  t.is(await fleet.claimAndGetKind(0, 'k5000'), 'pending');
  t.true(fleet.nodes[0].arbiter.listStats()[0].keys < 3000);
});

// Guards against malformed records that stop the reader, and against running a different request under a used key.
test('bad records are counted, another request with the key is refused', async t => {
  const fleet = new SimulatedKeyFleet(1);
  await fleet.log.append(stream, [null, {kind: 'claim', key: 7}, 'x']);
  await fleet.claimGrantedKey(0, 'k');
  const other = asId<RequestFingerprint>('other');
  t.is((await fleet.wait(fleet.claim(0, 'k', 4000, other))).kind, 'mismatch');
  t.is(fleet.nodes[0].arbiter.listStats()[0].badRecords, 3);
});

// Guards against one append per record: 390 keyed requests/s would need 780 appends/s.
test('records are appended in groups', async t => {
  const fleet = new SimulatedKeyFleet(1);
  await fleet.claimGrantedKey(0, 'first');
  const before = fleet.log.appends;
  const claims = Array.from({length: 50}, (_, i) => fleet.claim(0, `k${i}`));
  for (const decision of await fleet.wait(Promise.all(claims))) {
    if (decision.kind === 'held') decision.held.recordOutcome(outcome);
  }
  await fleet.clock.advance(2000);
  t.true(fleet.log.appends - before <= 4);
  t.is(await fleet.claimAndGetKind(0, 'k49'), 'answered');
});

// Guards against collisions of equal keys of different accounts or services.
test('a key is scoped by account and service', t => {
  const make = (account: string, service: string) =>
    makeKeyId(asId(account), asId(service), 'key');
  t.not(make('a', 's'), make('b', 's'));
  t.not(make('a', 's'), make('a', 't'));
  t.not(make('as', 't'), make('a', 'st'));
  const body = Buffer.from('1');
  t.not(
    makeRequestFingerprint('POST', '/a', body),
    makeRequestFingerprint('POST', '/a', Buffer.from('2')),
  );
});
