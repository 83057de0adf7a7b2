import test from 'ava';
import * as E from 'fp-ts/lib/Either.js';
import {
  applyChanges,
  Change,
  Configuration,
  emptyConfiguration,
} from '../../src/config/index.js';
import {addDesk, addDeskPool, makeRetirement, setWeight} from './fakes.js';

const route = {
  kind: 'add-route',
  route: 'records',
  host: 'Desk.example',
  pathPrefix: '/records/',
  service: 'desk',
} as const satisfies Change;
const account = {
  kind: 'add-account',
  account: 'crew',
  partner: 'holbrook',
  tokenHash: 'a'.repeat(64),
} as const satisfies Change;

function apply(config: Configuration, ...changes: Change[]) {
  return applyChanges(config, changes, 7);
}

function expectValid(...changes: Change[]): Configuration {
  const result = apply(emptyConfiguration, ...changes);
  if (E.isLeft(result)) throw result.left;
  return result.right;
}

const base = expectValid(
  addDesk,
  addDeskPool,
  setWeight('holbrook', 1),
  route,
  account,
);

function makeRoute(fields: object): Change {
  return {...route, route: 'r2', ...fields};
}

function makeAccount(fields: object): Change {
  return {...account, account: 'a2', ...fields};
}

const refused: readonly [string, RegExp, ...Change[]][] = [
  ['id', /^service: .* is no id; use/, {...addDesk, service: 'Desk 1'}],
  [
    'whole',
    /^floor: 1.5 is not whole; give/,
    {...addDesk, service: 'x', floor: 1.5},
  ],
  ['not a number', /^floor: NaN/, {...addDesk, service: 'x', floor: NaN}],
  ['range', /^weight: 0 is out of range; give/, setWeight('p', 0)],
  [
    'floor above expected',
    /below its floor of 4; add capacity or lower/,
    {kind: 'set-floor', service: 'desk', floor: 4},
  ],
  [
    'capacity below floor',
    /below its floor of 2/,
    {kind: 'remove-capacity', pool: 'desk-a', count: 2},
  ],
  [
    'retirement',
    /below its floor of 2/,
    makeRetirement('d1'),
    makeRetirement('d2'),
  ],
  [
    'retired twice',
    /retired already/,
    makeRetirement('d1'),
    makeRetirement('d1'),
  ],
  [
    'rule range',
    /^probationMs: 0/,
    {kind: 'set-rule', service: 'desk', rule: {probationMs: 0}},
  ],
  [
    'rule pair',
    /^maxEjectMs: 200 is below ejectMs/,
    {kind: 'set-rule', service: 'desk', rule: {maxEjectMs: 200}},
  ],
  [
    'time pair',
    /^stallMs: 300 is above timeoutMs/,
    {...addDesk, service: 'x', timeoutMs: 200, stallMs: 300},
  ],
  [
    'service with pool',
    /has pool desk-a; remove its pools/,
    {kind: 'remove-service', service: 'desk'},
  ],
  [
    'last pool',
    /route records leads; remove the route/,
    {kind: 'remove-pool', pool: 'desk-a'},
  ],
  [
    'partner with account',
    /crew belongs to partner/,
    {kind: 'remove-partner', partner: 'holbrook'},
  ],
  [
    'ambiguous route',
    /route records has the host desk.example/,
    makeRoute({host: 'DESK.example.', pathPrefix: '/records'}),
  ],
  ['host', /^host: .* is no host name/, makeRoute({host: 'desk:80'})],
  [
    'prefix',
    /^pathPrefix: .* is no path prefix/,
    makeRoute({pathPrefix: '/a/../b'}),
  ],
  ['encoded prefix', /^pathPrefix: /, makeRoute({pathPrefix: '/a%2f'})],
  ['token shape', /^tokenHash: /, makeAccount({tokenHash: 'secret'})],
  ['token twice', /account crew has the same token/, makeAccount({})],
  ['no partner', /use set-partner first/, makeAccount({partner: 'none'})],
];

// Guards against accepting any number and text, so that a record puts an invalid configuration into force.
for (const [name, expectedMessage, ...changes] of refused) {
  test(`an invalid change is refused with a remedy: ${name}`, t => {
    const result = apply(base, ...changes);
    t.true(E.isLeft(result));
    if (E.isLeft(result)) t.regex(result.left.message, expectedMessage);
  });
}

// Guards against checking floors before the later changes of a plan: one plan may retire servers and then add capacity.
test('floors are checked after all changes of a plan', t => {
  const grow: Change = {kind: 'add-capacity', pool: 'desk-a', count: 1};
  t.true(
    E.isRight(apply(base, makeRetirement('d1'), makeRetirement('d2'), grow)),
  );
});

// Guards against tables with a prototype: a server named `constructor` would count as retired.
test('an id equal to an inherited property is not found', t => {
  const config = expectValid({...addDesk, service: 'constructor'});
  t.is(Object.keys(config.services).length, 1);
  t.is((config.retired as Record<string, unknown>)['constructor'], undefined);
});

// Guards against rebuilding the lookup tables at each change, which copying the whole configuration would cause.
test('unchanged tables stay the same objects', t => {
  const result = apply(base, setWeight('holbrook', 2));
  if (E.isLeft(result)) throw result.left;
  t.is(result.right.routes, base.routes);
  t.is(result.right.accounts, base.accounts);
  t.not(result.right.partners, base.partners);
});
