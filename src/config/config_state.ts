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

// Bounds of what a fold remembers besides the configuration. Every node applies them at the same records.
const maxPendingPlans = 256;
const maxPendingPlansLength = 2 * 1024 * 1024;
const maxOutcomes = 512;
const maxRecentChanges = 512;
const maxRecentObjects = 20_000;

/** What became of a confirmation. */
export type ConfirmOutcome =
  | {
      readonly kind: 'in-force';
      readonly plan: PlanId;
      readonly version: number;
    }
  | {readonly kind: 'refused'; readonly plan: PlanId; readonly reason: string};

/** A plan that waits for its confirmation. */
export interface PendingPlan extends PlanRecord {
  readonly offset: number;
  /** Length of the record's text. */
  readonly length: number;
}

/** The objects that one confirmation changed. */
export interface RecentChange {
  readonly version: number;
  readonly objects: readonly string[];
}

/** The fold of the stream `config` up to an offset. */
export interface ConfigState {
  /** Offset of the next record to fold. */
  readonly next: number;
  readonly config: Configuration;
  /** Plans that wait for confirmation, oldest first: at most 256 and 2 MiB of text; the oldest make room. */
  readonly plans: ReadonlyMap<PlanId, PendingPlan>;
  /** Outcomes by confirmation id: the newest 512, oldest first. */
  readonly outcomes: ReadonlyMap<string, ConfirmOutcome>;
  /** What the newest confirmations changed, oldest first: at most 512 of them and 20,000 objects. */
  readonly recent: readonly RecentChange[];
  /** Version below which the fold no longer knows what changed; plans on older versions are refused. */
  readonly horizon: number;
  readonly badRecords: Readonly<Partial<Record<BadRecordReason, number>>>;
}

/** The fold of an empty stream. */
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
  // A plan record that was appended again after a lost reply, or replayed, changes nothing.
  if (state.plans.has(id) || findOutcome(state, id)) return state;
  const plans = withEntry(state.plans, id, {...record, offset, length});
  let total = 0;
  for (const plan of plans.values()) total += plan.length;
  for (const [oldest, plan] of plans) {
    if (plans.size <= maxPendingPlans && total <= maxPendingPlansLength) break;
    plans.delete(oldest);
    total -= plan.length;
  }
  return {...state, plans};
}

/** What became of a plan, if it was confirmed. */
export function findOutcome(
  state: ConfigState,
  plan: PlanId,
): ConfirmOutcome | undefined {
  for (const outcome of state.outcomes.values()) {
    if (outcome.plan === plan) return outcome;
  }
  return undefined;
}

/** Says why a plan no longer fits what is in force, or undefined if it does. */
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
  const touched = new Set(listTouchedObjects(state.config, plan.changes));
  for (const change of state.recent) {
    if (change.version <= plan.baseVersion) continue;
    const object = change.objects.find(name => touched.has(name));
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
  let count = recent.reduce((sum, item) => sum + item.objects.length, 0);
  let {horizon} = state;
  while (recent.length > maxRecentChanges || count > maxRecentObjects) {
    const oldest = recent.shift();
    if (!oldest) break;
    count -= oldest.objects.length;
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
  const known = findOutcome(state, planId);
  // A plan acts once: a second confirmation gets the outcome of the first.
  if (known) return addOutcome(state, confirmation, known);
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
 * Folds one record; a bad record changes nothing but its count. The caller passes records in order without a gap, and
 * none of a newer format.
 */
export function applyRecord(
  state: ConfigState,
  offset: number,
  opened: Exclude<RecordDecodeResult<ConfigRecord>, {kind: 'newer'}>,
): ConfigState {
  const advanced = {...state, next: offset + 1};
  if (opened.kind === 'bad') {
    const count = (state.badRecords[opened.reason] ?? 0) + 1;
    const badRecords = {...state.badRecords, [opened.reason]: count};
    return {...advanced, badRecords};
  }
  const {record, length} = opened;
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
