import * as t from 'io-ts';

const addServiceCodec = t.exact(
  t.intersection([
    t.type({
      kind: t.literal('add-service'),
      service: t.string,
      floor: t.number,
    }),
    t.partial({
      preset: t.keyof({careful: null, prompt: null}),
      timeoutMs: t.number,
      stallMs: t.number,
      queuePerServer: t.number,
    }),
  ]),
);
const ruleCodec = t.exact(
  t.partial({
    failureThreshold: t.number,
    slowThreshold: t.number,
    slowFactor: t.number,
    slowFloorMs: t.number,
    ejectMs: t.number,
    maxEjectMs: t.number,
    probationMs: t.number,
    commonCauseShare: t.number,
  }),
);
const addRouteCodec = t.exact(
  t.intersection([
    t.type({
      kind: t.literal('add-route'),
      route: t.string,
      host: t.string,
      pathPrefix: t.string,
      service: t.string,
    }),
    t.partial({
      idempotent: t.keyof({'by-method': null, always: null}),
      requireKey: t.boolean,
    }),
  ]),
);
const addAccountCodec = t.exact(
  t.intersection([
    t.type({
      kind: t.literal('add-account'),
      account: t.string,
      partner: t.string,
      tokenHash: t.string,
    }),
    t.partial({ratePerSecond: t.number, concurrency: t.number}),
  ]),
);

/** Codec of a single change of a plan. */
export const changeCodec = t.union([
  addServiceCodec,
  t.strict({kind: t.literal('remove-service'), service: t.string}),
  t.strict({
    kind: t.literal('add-pool'),
    pool: t.string,
    service: t.string,
    expected: t.number,
  }),
  t.strict({kind: t.literal('remove-pool'), pool: t.string}),
  t.strict({kind: t.literal('add-capacity'), pool: t.string, count: t.number}),
  t.strict({
    kind: t.literal('remove-capacity'),
    pool: t.string,
    count: t.number,
  }),
  addRouteCodec,
  t.strict({kind: t.literal('remove-route'), route: t.string}),
  t.strict({
    kind: t.literal('set-partner'),
    partner: t.string,
    weight: t.number,
  }),
  t.strict({kind: t.literal('remove-partner'), partner: t.string}),
  addAccountCodec,
  t.strict({kind: t.literal('remove-account'), account: t.string}),
  t.strict({
    kind: t.literal('retire-server'),
    server: t.string,
    service: t.string,
  }),
  t.strict({kind: t.literal('remove-retirement'), server: t.string}),
  t.exact(
    t.intersection([
      t.type({kind: t.literal('set-rule'), service: t.string, rule: ruleCodec}),
      t.partial({preset: t.keyof({careful: null, prompt: null})}),
    ]),
  ),
  t.strict({kind: t.literal('set-floor'), service: t.string, floor: t.number}),
  t.strict({
    kind: t.literal('set-limit'),
    account: t.string,
    ratePerSecond: t.number,
    concurrency: t.number,
  }),
]);

/** A single change of a plan. */
export type Change = t.TypeOf<typeof changeCodec>;

/** The change type of one kind. */
export type ChangeOf<K extends Change['kind']> = Extract<Change, {kind: K}>;

const kinds: Readonly<Record<Change['kind'], true>> = {
  'add-service': true,
  'remove-service': true,
  'add-pool': true,
  'remove-pool': true,
  'add-capacity': true,
  'remove-capacity': true,
  'add-route': true,
  'remove-route': true,
  'set-partner': true,
  'remove-partner': true,
  'add-account': true,
  'remove-account': true,
  'retire-server': true,
  'remove-retirement': true,
  'set-rule': true,
  'set-floor': true,
  'set-limit': true,
};

/** All kinds of changes, for validation and error messages. */
export const changeKinds: readonly string[] = Object.keys(kinds);
