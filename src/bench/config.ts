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
  makeNullPrototypeTable,
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
  designSize,
  makeChanges,
  makeHostAndPath,
  makeToken,
} from './config_generator.js';

// Measures route and account lookups, changes, the fold, snapshots and memory at fractions of the design size, and how
// long a change takes to reach all nodes of a fleet. Prints one JSON object a line.
// Usage: node dist/src/bench/config.js [local|memory|fleet]

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;
const random = makeRandom(20261204);

function printFigures(name: string, figures: Record<string, number>): void {
  const rounded = Object.entries(figures).map(([key, value]) => [
    key,
    Number(value.toPrecision(4)),
  ]);
  console.log(JSON.stringify({name, ...Object.fromEntries(rounded)}));
}

/** Returns the mean time of one run in ms, after a warm-up of a tenth of the runs. */
function measureMeanMs(runs: number, run: (index: number) => unknown): number {
  for (let i = 0; i < runs / 10; i += 1) run(i);
  const start = performance.now();
  for (let i = 0; i < runs; i += 1) run(i);
  return (performance.now() - start) / runs;
}

function computeQuantile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))];
}

function makeScaledSize(share: number): ConfigSize {
  return {
    ...designSize,
    routes: Math.round(designSize.routes * share),
    accounts: Math.round(designSize.accounts * share),
  };
}

function measureLookups(): void {
  for (const routes of [1000, designSize.routes]) {
    const {config} = buildState({...designSize, routes});
    const table = new RouteTable(config);
    const lookups = Array.from({length: 4096}, () => {
      const target = makeHostAndPath(Math.floor(random() * routes));
      return {...target, path: `${target.path}/item/7?day=2`};
    });
    const encoded = lookups.map(({host, path}) => ({
      host,
      path: path.replace('group', '%67roup'),
    }));
    const measureFind = (targets: typeof lookups) =>
      measureMeanMs(400_000, i => {
        const {host, path} = targets[i % targets.length];
        if (!table.find(host, path)) throw new Error(`no route ${path}`);
      });
    printFigures('route lookup', {
      routes,
      plainUs: measureFind(lookups) * 1000,
      encodedUs: measureFind(encoded) * 1000,
    });
  }
  const {config} = buildState(designSize);
  const accounts = new AccountTable(config);
  const tokens = Array.from({length: 4096}, () => ({
    headers: {
      authorization: `Bearer ${makeToken(Math.floor(random() * designSize.accounts))}`,
    },
  }));
  const accountUs =
    measureMeanMs(200_000, i => accounts.find(tokens[i % tokens.length])) *
    1000;
  printFigures('account lookup', {accounts: designSize.accounts, accountUs});
}

function measureRebuild(): void {
  for (const share of [0.25, 0.5, 1]) {
    const {config} = buildState(makeScaledSize(share));
    const routesMs = measureMeanMs(20, () => {
      new RouteTable({
        ...config,
        routes: makeNullPrototypeTable(config.routes),
      });
    });
    const accountsMs = measureMeanMs(20, () => {
      new AccountTable({
        ...config,
        accounts: makeNullPrototypeTable(config.accounts),
      });
    });
    printFigures('rebuild look-ups, copy included', {
      share,
      routesMs,
      accountsMs,
    });
  }
}

function measureChanges(): void {
  const changeMakers: Record<string, (index: number) => Change> = {
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
    const base = buildState(makeScaledSize(share));
    const figures = Object.entries(changeMakers).map(([kind, makeChange]) => {
      let state = base;
      const ms = measureMeanMs(50, i => {
        state = confirmChanges(state, [makeChange(i)]);
        new RouteTable(state.config);
        new AccountTable(state.config);
      });
      return [`${kind}Ms`, ms] as const;
    });
    printFigures('one change, planned, confirmed and in the look-ups', {
      share,
      ...Object.fromEntries(figures),
    });
  }
}

function measureFold(): void {
  for (const records of [1000, 4000, 16_000]) {
    const values: unknown[] = [];
    for (let i = 0; i < records / 2; i += 1) {
      // Each plan is based on the version that the previous confirmation put in force.
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
    if (state.config.version !== records - 1)
      throw new Error('not all records were folded');
    printFigures('fold', {records, ms, perRecordUs: (ms / records) * 1000});
  }
}

async function measureSnapshots(): Promise<void> {
  for (const share of [0.25, 0.5, 1]) {
    const state = buildState(makeScaledSize(share));
    const start = performance.now();
    const encoded = await encodeState(clusterKey, state);
    const encodeMs = performance.now() - start;
    const decodeStart = performance.now();
    const decoded = await decodeState(clusterKey, encoded);
    const decodeMs = performance.now() - decodeStart;
    if (E.isLeft(decoded)) throw decoded.left;
    printFigures('snapshot', {
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
  return encodeState(clusterKey, buildState(makeScaledSize(share)));
}

async function measureMemory(share: number): Promise<void> {
  const encoded = await encodeSize(share);
  const before = await measureHeap();
  const decoded = await decodeState(clusterKey, encoded);
  if (E.isLeft(decoded)) throw decoded.left;
  const routes = new RouteTable(decoded.right.config);
  const accounts = new AccountTable(decoded.right.config);
  const heapMb = (await measureHeap()) - before;
  printFigures('memory of state and look-ups', {share, heapMb});
  // Uses the tables after the measurement, so that they are not garbage-collected before it.
  const target = makeHostAndPath(0);
  const headers = {authorization: `Bearer ${makeToken(0)}`};
  if (!routes.find(target.host, target.path) || !accounts.find({headers})) {
    throw new Error('route 0 or account 0 is missing');
  }
}

async function loadFleet(fleet: LocalFleet, size: ConfigSize): Promise<void> {
  const changes = makeChanges(size);
  for (let start = 0; start < changes.length; start += changesPerPlan) {
    await fleet.applyChanges(
      'n0',
      changes.slice(start, start + changesPerPlan),
    );
  }
}

async function measureFleet(
  nodes: number,
  changes: number,
  size?: ConfigSize,
): Promise<void> {
  const dataCentres = ['a', 'b', 'c', 'd', 'e', 'f'];
  const nodeSpecs: NodeSpec[] = Array.from({length: nodes}, (_, i) => ({
    id: `n${i}`,
    dataCentre: `dc-${dataCentres[i % dataCentres.length]}`,
    region: i % dataCentres.length < 3 ? 'r1' : 'r2',
    backends: [],
  }));
  const fleet = await LocalFleet.start(nodeSpecs);
  try {
    if (size) await loadFleet(fleet, size);
    const times: number[] = [];
    for (let i = 0; i < changes; i += 1) {
      const askedNode = `n${i % nodes}`;
      const change: Change = size
        ? {
            kind: 'set-limit',
            account: 'account-1',
            ratePerSecond: i,
            concurrency: 1,
          }
        : {kind: 'set-partner', partner: 'p', weight: 1 + (i % 9)};
      const plan = (await fleet.callAdmin(askedNode, 'POST', '/v1/plans', {
        changes: [change],
      })) as {plan: string};
      const start = performance.now();
      const outcome = (await fleet.callAdmin(
        askedNode,
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
    printFigures('confirm to in force on all nodes, log up', {
      nodes,
      accounts: size?.accounts ?? 0,
      changes,
      medianMs: computeQuantile(times, 0.5),
      p90Ms: computeQuantile(times, 0.9),
      maxMs: Math.max(...times),
    });
  } finally {
    await fleet.stop();
  }
}

const selectedPart = process.argv[2] ?? 'all';
if (selectedPart === 'memory') {
  for (const share of [0.25, 0.5, 1]) await measureMemory(share);
} else if (selectedPart !== 'fleet') {
  measureLookups();
  measureRebuild();
  measureChanges();
  measureFold();
  await measureSnapshots();
  for (const share of [0.25, 0.5, 1]) await measureMemory(share);
}
if (selectedPart === 'all' || selectedPart === 'fleet') {
  await measureFleet(5, 50);
  await measureFleet(20, 50);
  await measureFleet(5, 50, designSize);
  await measureFleet(20, 50, designSize);
}
