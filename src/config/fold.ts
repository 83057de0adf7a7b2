import * as E from 'fp-ts/lib/Either.js';
import * as t from 'io-ts';
import {asId, decodeWith, PlanId} from '../base/index.js';
import {applyChange, changeCodec} from './change.js';
import {Configuration, emptyConfiguration} from './configuration.js';

const planCodec = t.type({
  kind: t.literal('plan'),
  plan: t.string,
  baseVersion: t.number,
  changes: t.array(changeCodec),
});
const confirmCodec = t.type({
  kind: t.literal('confirm'),
  plan: t.string,
  confirmation: t.string,
});

/** A record of the stream `config`. */
export const configRecordCodec = t.union([planCodec, confirmCodec]);
/** A record of the stream `config`. */
export type ConfigRecord = t.TypeOf<typeof configRecordCodec>;
/** An operator's plan as recorded. */
export type PlanRecord = t.TypeOf<typeof planCodec>;

/** What became of a confirmation. */
export type ConfirmOutcome =
  | {readonly kind: 'in-force'; readonly version: number}
  | {readonly kind: 'refused'; readonly reason: string};

/** The fold of the stream `config` up to an offset. */
export interface ConfigState {
  /** Offset of the next record to fold. */
  readonly next: number;
  readonly config: Configuration;
  readonly plans: Readonly<Record<PlanId, PlanRecord>>;
  readonly confirmations: Readonly<Record<string, ConfirmOutcome>>;
  readonly badRecords: number;
}

/** The fold of an empty stream. */
export const emptyConfigState: ConfigState = {
  next: 0,
  config: emptyConfiguration,
  plans: {},
  confirmations: {},
  badRecords: 0,
};

function confirmPlan(
  state: ConfigState,
  offset: number,
  plan: PlanRecord | undefined,
): E.Either<string, Configuration> {
  if (!plan) return E.left('the plan is not known; make it anew');
  if (plan.baseVersion !== state.config.version) {
    return E.left(
      `the plan was made on version ${plan.baseVersion}, in force is ${state.config.version}; make it anew`,
    );
  }
  let config = state.config;
  for (const change of plan.changes) {
    const changed = applyChange(config, change);
    if (E.isLeft(changed)) return E.left(changed.left.message);
    config = changed.right;
  }
  return E.right({...config, version: offset});
}

/** Folds one record; a bad record changes nothing but its count. */
export function foldRecord(
  state: ConfigState,
  offset: number,
  value: unknown,
): ConfigState {
  const next = offset + 1;
  const decoded = decodeWith(configRecordCodec, value);
  if (E.isLeft(decoded)) {
    return {...state, next, badRecords: state.badRecords + 1};
  }
  const record = decoded.right;
  switch (record.kind) {
    case 'plan':
      return {
        ...state,
        next,
        plans: {...state.plans, [asId<PlanId>(record.plan)]: record},
      };
    case 'confirm': {
      if (state.confirmations[record.confirmation]) return {...state, next};
      const result = confirmPlan(
        state,
        offset,
        state.plans[asId<PlanId>(record.plan)],
      );
      const outcome: ConfirmOutcome = E.isRight(result)
        ? {kind: 'in-force', version: offset}
        : {kind: 'refused', reason: result.left};
      return {
        ...state,
        next,
        config: E.isRight(result) ? result.right : state.config,
        confirmations: {...state.confirmations, [record.confirmation]: outcome},
      };
    }
  }
}
