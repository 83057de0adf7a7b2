import * as E from 'fp-ts/lib/Either.js';
import {asId, PlanId} from '../base/index.js';
import {applyChanges, listTouchedObjects} from './apply_changes.js';
import {Configuration, emptyConfiguration} from './configuration.js';
import {
  BadRecordReason,
  ConfigRecord,
  RecordDecodeResult,
  PlanRecord,
} from './record.js';

// Bounds on the state kept besides the configuration. They are applied when a record arrives, so that every node drops
// the same entries.
const maxPendingPlans = 256;
const maxPendingPlansLength = 2 * 1024 * 1024;
const maxOutcomes = 512;
const maxRecentChanges = 512;
const maxRecentObjects = 20_000;

/** The outcome of a confirmation. */
export type ConfirmOutcome =
  | {
      readonly kind: 'in-force';
      readonly plan: PlanId;
      readonly version: number;
    }
  | {readonly kind: 'refused'; readonly plan: PlanId; readonly reason: string};

/** A recorded plan that is not confirmed yet. */
export interface PendingPlan extends PlanRecord {
  readonly offset: number;
  /** Length of the record's JSON text. */
  readonly length: number;
}

/** The objects that one confirmation changed. */
export interface RecentChange {
  readonly version: number;
  readonly objects: readonly string[];
}

/** State computed from the records of the stream `config` up to an offset. */
export interface ConfigState {
  /** Offset of the next record to apply. */
  readonly next: number;
  readonly config: Configuration;
  /** Plans awaiting confirmation, oldest first: at most 256 and 2 MiB of text; the oldest are evicted. */
  readonly plans: ReadonlyMap<PlanId, PendingPlan>;
  /** Outcomes by confirmation id: the newest 512, oldest first. */
  readonly outcomes: ReadonlyMap<string, ConfirmOutcome>;
  /** Objects changed by the newest confirmations, oldest first: at most 512 confirmations and 20,000 objects. */
  readonly recent: readonly RecentChange[];
  /** Version of the newest change evicted from `recent`, -1 if none was; plans based on older versions are refused. */
  readonly horizon: number;
  readonly badRecords: Readonly<Partial<Record<BadRecordReason, number>>>;
}

/** The state of an empty stream. */
export const emptyConfigState: ConfigState = {
  next: 0,
  config: emptyConfiguration,
  plans: new Map(),
  outcomes: new Map(),
  recent: [],
  horizon: -1,
  badRecords: {},
};

function withEntry<K, V>(map: ReadonlyMap<K, V>, key: K, value: V): Map<K, V> {
  return new Map(map).set(key, value);
}

function addPlan(
  state: ConfigState,
  offset: number,
  length: number,
  record: PlanRecord,
): ConfigState {
  const id = asId<PlanId>(record.plan);
  // A plan record that was appended again after a lost reply, or was replayed, has no effect.
  if (state.plans.has(id) || findOutcome(state, id)) return state;
  const plans = withEntry(state.plans, id, {...record, offset, length});
  let totalLength = 0;
  for (const plan of plans.values()) totalLength += plan.length;
  for (const [oldest, plan] of plans) {
    if (plans.size <= maxPendingPlans && totalLength <= maxPendingPlansLength)
      break;
    plans.delete(oldest);
    totalLength -= plan.length;
  }
  return {...state, plans};
}

/** Returns the outcome of a plan if it was confirmed. */
export function findOutcome(
  state: ConfigState,
  plan: PlanId,
): ConfirmOutcome | undefined {
  for (const outcome of state.outcomes.values()) {
    if (outcome.plan === plan) return outcome;
  }
  return undefined;
}

/** Returns why a plan conflicts with the configuration in force, or undefined if it does not. */
export function findConflict(
  state: ConfigState,
  plan: PlanRecord,
): string | undefined {
  const {version} = state.config;
  if (plan.baseVersion > version) {
    return `the plan was made on version ${plan.baseVersion}, which is not in force; plan anew`;
  }
  if (plan.baseVersion < state.horizon) {
    return `the plan was made on version ${plan.baseVersion}, too old to tell what changed since; plan anew`;
  }
  const touchedObjects = new Set(
    listTouchedObjects(state.config, plan.changes),
  );
  for (const change of state.recent) {
    if (change.version <= plan.baseVersion) continue;
    const object = change.objects.find(name => touchedObjects.has(name));
    if (object === undefined) continue;
    return `${object} was changed by version ${change.version}, after the plan was made on version ${plan.baseVersion}; look at what is in force and plan anew`;
  }
  return undefined;
}

function applyPlan(
  state: ConfigState,
  offset: number,
  plan: PendingPlan,
): E.Either<string, Configuration> {
  const conflict = findConflict(state, plan);
  if (conflict !== undefined) return E.left(conflict);
  const changed = applyChanges(state.config, plan.changes, offset);
  return E.isLeft(changed)
    ? E.left(`${changed.left.message}; then plan anew`)
    : changed;
}

function addOutcome(
  state: ConfigState,
  confirmation: string,
  outcome: ConfirmOutcome,
): ConfigState {
  const outcomes = withEntry(state.outcomes, confirmation, outcome);
  for (const oldest of outcomes.keys()) {
    if (outcomes.size <= maxOutcomes) break;
    outcomes.delete(oldest);
  }
  const plans = new Map(state.plans);
  plans.delete(outcome.plan);
  return {...state, outcomes, plans};
}

function recordChange(state: ConfigState, change: RecentChange): ConfigState {
  const recent = [...state.recent, change];
  let objectCount = recent.reduce((sum, item) => sum + item.objects.length, 0);
  let {horizon} = state;
  while (recent.length > maxRecentChanges || objectCount > maxRecentObjects) {
    const oldest = recent.shift();
    if (!oldest) break;
    objectCount -= oldest.objects.length;
    horizon = oldest.version;
  }
  return {...state, recent, horizon};
}

function confirmPlan(
  state: ConfigState,
  offset: number,
  confirmation: string,
  planId: PlanId,
): ConfigState {
  if (state.outcomes.has(confirmation)) return state;
  const existingOutcome = findOutcome(state, planId);
  // A plan is applied once: a second confirmation gets the outcome of the first.
  if (existingOutcome) return addOutcome(state, confirmation, existingOutcome);
  const plan = state.plans.get(planId);
  if (!plan) {
    return addOutcome(state, confirmation, {
      kind: 'refused',
      plan: planId,
      reason: `plan ${planId} is not known or made room for newer plans; plan anew`,
    });
  }
  const result = applyPlan(state, offset, plan);
  if (E.isLeft(result)) {
    return addOutcome(state, confirmation, {
      kind: 'refused',
      plan: planId,
      reason: result.left,
    });
  }
  const changed = recordChange(
    {...state, config: result.right},
    {version: offset, objects: listTouchedObjects(state.config, plan.changes)},
  );
  return addOutcome(changed, confirmation, {
    kind: 'in-force',
    plan: planId,
    version: offset,
  });
}

/**
 * Applies one record to the state; a bad record only increments its counter. The caller must pass the records in order,
 * without gaps, and none of a newer format.
 */
export function applyRecord(
  state: ConfigState,
  offset: number,
  decoded: Exclude<RecordDecodeResult<ConfigRecord>, {kind: 'newer'}>,
): ConfigState {
  const advanced = {...state, next: offset + 1};
  if (decoded.kind === 'bad') {
    const count = (state.badRecords[decoded.reason] ?? 0) + 1;
    const badRecords = {...state.badRecords, [decoded.reason]: count};
    return {...advanced, badRecords};
  }
  const {record, length} = decoded;
  switch (record.kind) {
    case 'plan':
      return addPlan(advanced, offset, length, record);
    case 'confirm':
      return confirmPlan(
        advanced,
        offset,
        record.confirmation,
        asId<PlanId>(record.plan),
      );
  }
}
