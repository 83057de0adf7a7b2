import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import * as E from 'fp-ts/lib/Either.js';
import {makeRandom, systemClock} from '../base/index.js';
import {
  Change,
  ConfigState,
  decodeState,
  emptyConfigState,
  encodeState,
  makeTable,
} from '../config/index.js';
import {AccountTable, RouteTable} from '../entry/index.js';
import {LocalFleet, NodeSpec} from '../testing/index.js';
import {
  buildState,
  changesPerPlan,
  clusterKey,
  ConfigSize,
  confirmChanges,
  encodeRecord,
  foldValue,
  fullSize,
  makeChanges,
  makeRoutePlace,
  makeToken,
} from './config_size.js';

// Prints one JSON object a line. `node dist/src/bench/config.js [local|memory|fleet]` runs one part.

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;
const random = makeRandom(20261204);

function report(name: string, figures: Record<string, number>): void {
  const rounded = Object.entries(figures).map(([key, value]) => [
    key,
    Number(value.toPrecision(4)),
  ]);
  console.log(JSON.stringify({name, ...Object.fromEntries(rounded)}));
}

/** Mean time of one run in ms, after a tenth of the runs as warm-up. */
function measure(runs: number, run: (index: number) => unknown): number {
  for (let i = 0; i < runs / 10; i += 1) run(i);
  const start = performance.now();
  for (let i = 0; i < runs; i += 1) run(i);
  return (performance.now() - start) / runs;
}

function pickQuantile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))];
}

function makeSize(share: number): ConfigSize {
  return {
    ...fullSize,
    routes: Math.round(fullSize.routes * share),
    accounts: Math.round(fullSize.accounts * share),
  };
}

function measureLookups(): void {
  for (const routes of [1000, fullSize.routes]) {
    const {config} = buildState({...fullSize, routes});
    const table = new RouteTable(config);
    const asked = Array.from({length: 4096}, () => {
      const place = makeRoutePlace(Math.floor(random() * routes));
      return {...place, path: `${place.path}/item/7?day=2`};
    });
    const encoded = asked.map(({host, path}) => ({
      host,
      path: path.replace('group', '%67roup'),
    }));
    const find = (places: typeof asked) =>
      measure(400_000, i => {
        const {host, path} = places[i % places.length];
        if (!table.find(host, path)) throw new Error(`no route ${path}`);
      });
    report('route lookup', {
      routes,
      plainUs: find(asked) * 1000,
      encodedUs: find(encoded) * 1000,
    });
  }
  const {config} = buildState(fullSize);
  const accounts = new AccountTable(config);
  const tokens = Array.from({length: 4096}, () => ({
    headers: {
      authorization: `Bearer ${makeToken(Math.floor(random() * fullSize.accounts))}`,
    },
  }));
  const accountUs =
    measure(200_000, i => accounts.find(tokens[i % tokens.length])) * 1000;
  report('account lookup', {accounts: fullSize.accounts, accountUs});
}

function measureRebuild(): void {
  for (const share of [0.25, 0.5, 1]) {
    const {config} = buildState(makeSize(share));
    const routesMs = measure(20, () => {
      new RouteTable({...config, routes: makeTable(config.routes)});
    });
    const accountsMs = measure(20, () => {
      new AccountTable({...config, accounts: makeTable(config.accounts)});
    });
    report('rebuild look-ups, copy included', {share, routesMs, accountsMs});
  }
}

function measureChanges(): void {
  const oneChange: Record<string, (index: number) => Change> = {
    'set-partner': i => ({
      kind: 'set-partner',
      partner: 'partner-1',
      weight: 1 + (i % 9),
    }),
    'add-route': i => ({
      kind: 'add-route',
      route: `extra-${i}-${random()}`,
      host: '*',
      pathPrefix: `/extra-${i}-${random()}`,
      service: 'service-1',
    }),
    'set-limit': i => ({
      kind: 'set-limit',
      account: 'account-1',
      ratePerSecond: i % 100,
      concurrency: 1,
    }),
  };
  for (const share of [0.25, 0.5, 1]) {
    const base = buildState(makeSize(share));
    const figures = Object.entries(oneChange).map(([kind, makeOne]) => {
      let state = base;
      const ms = measure(50, i => {
        state = confirmChanges(state, [makeOne(i)]);
        new RouteTable(state.config);
        new AccountTable(state.config);
      });
      return [`${kind}Ms`, ms] as const;
    });
    report('one change, planned, confirmed and in the look-ups', {
      share,
      ...Object.fromEntries(figures),
    });
  }
}

function measureFold(): void {
  for (const records of [1000, 4000, 16_000]) {
    const values: unknown[] = [];
    for (let i = 0; i < records / 2; i += 1) {
      // Each plan is made on the version of the confirmation before it.
      const baseVersion = i === 0 ? -1 : 2 * i - 1;
      values.push(
        encodeRecord({
          kind: 'plan',
          plan: `fold-plan-${i}`,
          baseVersion,
          changes: [
            {kind: 'set-partner', partner: `p-${i % 40}`, weight: 1 + (i % 9)},
          ],
        }),
        encodeRecord({
          kind: 'confirm',
          plan: `fold-plan-${i}`,
          confirmation: `fold-confirm-${i}`,
        }),
      );
    }
    const start = performance.now();
    let state: ConfigState = emptyConfigState;
    for (const value of values) state = foldValue(state, value);
    const ms = performance.now() - start;
    if (state.config.version !== records - 1) throw new Error('not folded');
    report('fold', {records, ms, perRecordUs: (ms / records) * 1000});
  }
}

async function measureSnapshots(): Promise<void> {
  for (const share of [0.25, 0.5, 1]) {
    const state = buildState(makeSize(share));
    const start = performance.now();
    const encoded = await encodeState(clusterKey, state);
    const encodeMs = performance.now() - start;
    const middle = performance.now();
    const decoded = await decodeState(clusterKey, encoded);
    const decodeMs = performance.now() - middle;
    if (E.isLeft(decoded)) throw decoded.left;
    report('snapshot', {
      share,
      bytes: encoded.bytes.length,
      encodeMs,
      decodeMs,
    });
  }
}

async function measureHeap(): Promise<number> {
  for (let i = 0; i < 3; i += 1) {
    await systemClock.sleep(20);
    collectGarbage();
  }
  return process.memoryUsage().heapUsed / 1e6;
}

async function encodeSize(share: number) {
  return encodeState(clusterKey, buildState(makeSize(share)));
}

async function measureMemory(share: number): Promise<void> {
  const encoded = await encodeSize(share);
  const before = await measureHeap();
  const decoded = await decodeState(clusterKey, encoded);
  if (E.isLeft(decoded)) throw decoded.left;
  const routes = new RouteTable(decoded.right.config);
  const accounts = new AccountTable(decoded.right.config);
  const heapMb = (await measureHeap()) - before;
  report('memory of state and look-ups', {share, heapMb});
  // Used after the measurement, so that nothing was collected before it.
  const place = makeRoutePlace(0);
  const headers = {authorization: `Bearer ${makeToken(0)}`};
  if (!routes.find(place.host, place.path) || !accounts.find({headers})) {
    throw new Error('the state was lost');
  }
}

async function loadFleet(fleet: LocalFleet, size: ConfigSize): Promise<void> {
  const changes = makeChanges(size);
  for (let at = 0; at < changes.length; at += changesPerPlan) {
    await fleet.applyChanges('n0', changes.slice(at, at + changesPerPlan));
  }
}

async function measureFleet(
  nodes: number,
  changes: number,
  size?: ConfigSize,
): Promise<void> {
  const dataCentres = ['a', 'b', 'c', 'd', 'e', 'f'];
  const plans: NodeSpec[] = Array.from({length: nodes}, (_, i) => ({
    id: `n${i}`,
    dataCentre: `dc-${dataCentres[i % dataCentres.length]}`,
    region: i % dataCentres.length < 3 ? 'r1' : 'r2',
    backends: [],
  }));
  const fleet = await LocalFleet.start(plans);
  try {
    if (size) await loadFleet(fleet, size);
    const times: number[] = [];
    for (let i = 0; i < changes; i += 1) {
      const asked = `n${i % nodes}`;
      const change: Change = size
        ? {
            kind: 'set-limit',
            account: 'account-1',
            ratePerSecond: i,
            concurrency: 1,
          }
        : {kind: 'set-partner', partner: 'p', weight: 1 + (i % 9)};
      const plan = (await fleet.callAdmin(asked, 'POST', '/v1/plans', {
        changes: [change],
      })) as {plan: string};
      const start = performance.now();
      const outcome = (await fleet.callAdmin(
        asked,
        'POST',
        `/v1/plans/${plan.plan}/confirm`,
        {},
      )) as {version: number};
      const text = `"version":${outcome.version},"msg":"configuration in force"`;
      await Promise.all(
        [...fleet.nodes.values()].map(node =>
          node.process.waitForLine(line => line.includes(text)),
        ),
      );
      times.push(performance.now() - start);
    }
    report('confirm to in force on all nodes, log up', {
      nodes,
      accounts: size?.accounts ?? 0,
      changes,
      medianMs: pickQuantile(times, 0.5),
      p90Ms: pickQuantile(times, 0.9),
      maxMs: Math.max(...times),
    });
  } finally {
    await fleet.stop();
  }
}

const part = process.argv[2] ?? 'all';
if (part === 'memory') {
  for (const share of [0.25, 0.5, 1]) await measureMemory(share);
} else if (part !== 'fleet') {
  measureLookups();
  measureRebuild();
  measureChanges();
  measureFold();
  await measureSnapshots();
  for (const share of [0.25, 0.5, 1]) await measureMemory(share);
}
if (part === 'all' || part === 'fleet') {
  await measureFleet(5, 50);
  await measureFleet(20, 50);
  await measureFleet(5, 50, fullSize);
  await measureFleet(20, 50, fullSize);
}
