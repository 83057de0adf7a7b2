import {hashSecret} from '../base/index.js';
import {
  Change,
  configRecordCodec,
  ConfigRecord,
  ConfigState,
  emptyConfigState,
  foldRecord,
  RecordSeal,
} from '../config/index.js';

/** Numbers of objects of a configuration. */
export interface ConfigSize {
  readonly services: number;
  readonly poolsPerService: number;
  readonly routes: number;
  readonly accounts: number;
}

/** The size of section 1.4 of the design. */
export const designSize: ConfigSize = {
  services: 120,
  poolsPerService: 6,
  routes: 8200,
  accounts: 21_000,
};

export const clusterKey = 'bench-cluster-key-01';
const seal = new RecordSeal(clusterKey, 'config');
/** Changes in one plan, so that its text stays below 1 MiB. */
export const changesPerPlan = 4000;
const partners = 40;
const hosts = 200;

/** Host and path of a route of such a configuration. */
export function makeHostAndPath(index: number): {host: string; path: string} {
  const group = Math.floor(index / hosts);
  return {
    host: `host-${index % hosts}.example`,
    path: `/area-${group % 10}/group-${group}`,
  };
}

/** Token of an account of such a configuration. */
export function makeToken(index: number): string {
  return `bench-token-${index}`;
}

/** Changes that lead to a configuration of this size. */
export function makeChanges(size: ConfigSize): readonly Change[] {
  const changes: Change[] = [];
  for (let i = 0; i < partners; i += 1) {
    changes.push({kind: 'set-partner', partner: `partner-${i}`, weight: 1});
  }
  for (let i = 0; i < size.services; i += 1) {
    changes.push({kind: 'add-service', service: `service-${i}`, floor: 30});
    for (let j = 0; j < size.poolsPerService; j += 1) {
      changes.push({
        kind: 'add-pool',
        pool: `pool-${i}-${j}`,
        service: `service-${i}`,
        expected: 8,
      });
    }
  }
  for (let i = 0; i < size.routes; i += 1) {
    const {host, path} = makeHostAndPath(i);
    changes.push({
      kind: 'add-route',
      route: `route-${i}`,
      host,
      pathPrefix: path,
      service: `service-${i % size.services}`,
    });
  }
  for (let i = 0; i < size.accounts; i += 1) {
    changes.push({
      kind: 'add-account',
      account: `account-${i}`,
      partner: `partner-${i % partners}`,
      tokenHash: hashSecret(makeToken(i)),
      ratePerSecond: 50,
      concurrency: 10,
    });
  }
  return changes;
}

/** Signs a record as it stands in the log. */
export function encodeRecord(record: ConfigRecord): unknown {
  return seal.encode(record);
}

/** Checks and folds one value of the log. */
export function foldValue(state: ConfigState, value: unknown): ConfigState {
  const opened = seal.decode(configRecordCodec, value);
  if (opened.kind === 'newer') throw new Error('newer format');
  return foldRecord(state, state.next, opened);
}

/** Plans and confirms changes; throws if they are refused. */
export function confirmChanges(
  state: ConfigState,
  changes: readonly Change[],
): ConfigState {
  const id = `bench-plan-${state.next}`;
  const {version} = state.config;
  const planned = foldValue(
    state,
    encodeRecord({
      kind: 'plan',
      plan: id,
      baseVersion: version,
      changes: [...changes],
    }),
  );
  const confirmed = foldValue(
    planned,
    encodeRecord({kind: 'confirm', plan: id, confirmation: id}),
  );
  const outcome = confirmed.outcomes.get(id);
  if (outcome?.kind === 'in-force') return confirmed;
  throw new Error(`changes refused: ${outcome?.reason}`);
}

/** Folds a configuration of this size, in plans that a record can hold. */
export function buildState(size: ConfigSize): ConfigState {
  const changes = makeChanges(size);
  let state = emptyConfigState;
  for (let at = 0; at < changes.length; at += changesPerPlan) {
    state = confirmChanges(state, changes.slice(at, at + changesPerPlan));
  }
  return state;
}
