import test from 'ava';
import fc from 'fast-check';
import * as E from 'fp-ts/lib/Either.js';
import {asId, PlanId} from '../../src/base/index.js';
import {
  configRecordCodec,
  ConfigState,
  decodeState,
  emptyConfigState,
  encodeState,
  findOutcome,
} from '../../src/config/index.js';
import {
  addDesk,
  addDeskPool,
  clusterKey,
  applyValues,
  applyRecords,
  makeConfirmation,
  makePlan,
  makeRetirement,
  signer,
  setWeight,
} from './fakes.js';

const initialState = applyRecords(
  emptyConfigState,
  makePlan('plan-start', -1, addDesk, addDeskPool, setWeight('a', 1)),
  makeConfirmation('plan-start', 'conf-start'),
);

const streamValue = fc.oneof(
  fc
    .record({
      plan: fc.integer({min: 0, max: 5}),
      base: fc.oneof(
        {weight: 4, arbitrary: fc.constant(-1)},
        fc.integer({min: 0, max: 12}),
      ),
      change: fc.oneof(
        fc.integer({min: 0, max: 3}).map(i => setWeight(`p${i}`, 1 + i)),
        fc.integer({min: 0, max: 2}).map(i => makeRetirement(`d${i}`)),
        fc.constantFrom(addDesk, addDeskPool),
      ),
    })
    .map(({plan, base, change}) =>
      signer.encode(makePlan(`plan-000${plan}`, base, change)),
    ),
  fc
    .record({
      plan: fc.integer({min: 0, max: 5}),
      id: fc.integer({max: 9, min: 0}),
    })
    .map(({plan, id}) =>
      signer.encode(makeConfirmation(`plan-000${plan}`, `conf-000${id}`)),
    ),
  fc.constantFrom<unknown>(null, 'x', {format: 1, body: '{}', proof: 'forged'}),
  fc.constant(signer.encode({kind: 'launch'})),
);

async function decodeCopy(state: ConfigState): Promise<ConfigState> {
  const encoded = await encodeState(clusterKey, state);
  const decoded = await decodeState(clusterKey, encoded);
  if (E.isLeft(decoded)) throw decoded.left;
  return decoded.right;
}

// Guards against state that a snapshot omits: a node that starts from such a snapshot would apply later records
// differently from other nodes.
test('replaying the log and resuming from a snapshot give the same state for every prefix', async t => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(streamValue, {maxLength: 25}),
      fc.nat(25),
      async (values, cut) => {
        const whole = applyValues(emptyConfigState, values);
        const part = applyValues(emptyConfigState, values.slice(0, cut));
        const resumed = applyValues(await decodeCopy(part), values.slice(cut));
        t.deepEqual(resumed, whole);
        t.true(whole.config.version >= part.config.version);
      },
    ),
    {seed: 20261204, numRuns: 200},
  );
});

// Guards against applying both of two conflicting plans, and against refusing plans that touch other objects, as happens
// if every plan on an older version is refused.
test('the first of two conflicting plans wins, a third on other objects is applied', t => {
  const {version} = initialState.config;
  const state = applyRecords(
    initialState,
    makePlan('plan-one', version, makeRetirement('d1')),
    makePlan('plan-two', version, {
      kind: 'set-floor',
      service: 'desk',
      floor: 1,
    }),
    makePlan('plan-three', version, setWeight('a', 5)),
    makeConfirmation('plan-one', 'conf-one'),
    makeConfirmation('plan-two', 'conf-two'),
    makeConfirmation('plan-three', 'conf-three'),
  );
  t.is(state.outcomes.get('conf-one')?.kind, 'in-force');
  const second = state.outcomes.get('conf-two');
  t.true(
    second?.kind === 'refused' &&
      /capacity:desk .* plan anew/.test(second.reason),
  );
  t.is(state.outcomes.get('conf-three')?.kind, 'in-force');
});

// Guards against a repeated confirmation that adds capacity twice.
test('a plan is applied once, however often it is confirmed or recorded', t => {
  const {version} = initialState.config;
  const plan = makePlan('plan-grow', version, {
    kind: 'add-capacity',
    pool: 'desk-a',
    count: 1,
  });
  const state = applyRecords(
    initialState,
    plan,
    makeConfirmation('plan-grow', 'conf-one'),
    makeConfirmation('plan-grow', 'conf-one'),
    plan,
    makeConfirmation('plan-grow', 'conf-two'),
  );
  t.is(Object.values(state.config.pools)[0].expected, 4);
  t.deepEqual(state.outcomes.get('conf-two'), state.outcomes.get('conf-one'));
});

// Guards against memory that grows with the number of records because all plans and outcomes are kept, and against
// applying records that are replayed after their outcomes were evicted.
test('the state stays bounded and replayed records are refused', t => {
  let state = initialState;
  for (let i = 0; i < 600; i += 1) {
    state = applyRecords(
      state,
      makePlan(`plan-${i}-left`, state.config.version, setWeight('b', 1)),
      makePlan(
        `plan-${i}-used`,
        state.config.version,
        setWeight('c', 1 + (i % 2)),
      ),
      makeConfirmation(`plan-${i}-used`, `conf-${i}-used`),
    );
  }
  t.true(state.plans.size <= 256);
  t.is(state.outcomes.size, 512);
  t.true(state.recent.length <= 512);
  const before = state.config;
  const replayed = applyRecords(
    state,
    makePlan('plan-start', -1, setWeight('z', 9)),
    makeConfirmation('plan-start', 'conf-start'),
  );
  t.is(replayed.config, before);
  t.is(findOutcome(replayed, asId<PlanId>('plan-start'))?.kind, 'refused');
});

// Guards against accepting every well-formed record, which anyone with access to the log could write.
test('a record needs the proof of the cluster key, of its stream and of its format', t => {
  const good = signer.encode(makeConfirmation('plan-one', 'conf-one'));
  const decode = (record: unknown) => signer.decode(configRecordCodec, record);
  t.is(decode(good).kind, 'good');
  t.like(decode({...good, body: `${good.body} `}), {reason: 'forged'});
  t.like(decode({...good, format: 9}), {reason: 'forged'});
  t.like(decode({...good, body: 'x'.repeat(2_000_000)}), {reason: 'too-large'});
  t.like(decode(signer.encode({kind: 'launch'})), {reason: 'unknown'});
  t.is(decode(signer.encode({kind: 'launch'}, 2)).kind, 'newer');
});

// Guards against adopting a damaged or forged snapshot, or a compressed one that would exhaust the memory.
test('a damaged or forged state is rejected', async t => {
  const encoded = await encodeState(clusterKey, initialState);
  const truncated = {...encoded, bytes: encoded.bytes.subarray(0, 50)};
  t.true(E.isLeft(await decodeState(clusterKey, truncated)));
  t.true(E.isLeft(await decodeState('another-key', encoded)));
  t.true(E.isLeft(await decodeState(clusterKey, {...encoded, next: 99})));
});
