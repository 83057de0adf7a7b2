import {FastifyInstance} from 'fastify';
import * as E from 'fp-ts/lib/Either.js';
import {asId, ConflictError, NotFoundError, PlanId} from '../base/index.js';
import {
  applyChanges,
  Change,
  checkRetirements,
  PlanSubmitter,
  describePlan,
  findConflict,
  findOutcome,
  listTouchedObjects,
  PendingPlan,
} from '../config/index.js';
import {parseConfirmBody, parsePlanBody} from './input.js';
import {listAnnouncedServers, ViewSources} from './views.js';

/** Dependencies of the plan calls. */
export interface PlanOptions extends ViewSources {
  readonly planSubmitter: PlanSubmitter;
}

function makePlanView(options: PlanOptions, plan: PendingPlan) {
  const state = options.follower.getState();
  const {config} = state;
  const after = applyChanges(config, plan.changes, config.version);
  const conflict =
    findConflict(state, plan) ??
    (E.isLeft(after) ? after.left.message : undefined);
  return {
    plan: plan.plan,
    state: 'pending',
    baseVersion: plan.baseVersion,
    objects: listTouchedObjects(config, plan.changes),
    conflict: conflict ?? null,
    steps: E.isLeft(after)
      ? []
      : describePlan(config, after.right, plan.changes, id => {
          // Servers may announce themselves before their service is in force.
          const service = after.right.services[id] ?? config.services[id];
          return service ? listAnnouncedServers(options, service) : [];
        }),
    changes: plan.changes,
  };
}

function getPlanView(options: PlanOptions, id: PlanId) {
  const state = options.follower.getState();
  const pending = state.plans.get(id);
  if (pending) return makePlanView(options, pending);
  const outcome = findOutcome(state, id);
  if (outcome) return {state: outcome.kind, ...outcome};
  throw new NotFoundError(
    `plan ${id} is unknown; list the plans, or create a new one`,
  );
}

function checkRetirementsWithLocalState(
  options: PlanOptions,
  changes: readonly Change[],
): void {
  const config = options.follower.getConfiguration();
  checkRetirements(config, changes, id => {
    const service = config.services[id];
    return service ? listAnnouncedServers(options, service) : [];
  });
}

/** Registers the calls for plans and their confirmation. */
export function registerPlanCalls(
  app: FastifyInstance,
  options: PlanOptions,
): void {
  const {follower, planSubmitter} = options;
  const checkChanges = (changes: readonly Change[]) =>
    checkRetirementsWithLocalState(options, changes);

  app.post('/v1/plans', async request => {
    const {changes, planId} = parsePlanBody(request.body);
    const plan = await planSubmitter.createPlan(changes, planId, checkChanges);
    return makePlanView(options, plan);
  });

  app.get('/v1/plans', async () => {
    const {plans, outcomes} = follower.getState();
    return {
      pending: [...plans.values()].map(plan => ({
        plan: plan.plan,
        baseVersion: plan.baseVersion,
        changes: plan.changes.length,
        kinds: [...new Set(plan.changes.map(change => change.kind))],
      })),
      confirmed: [...outcomes].map(([confirmationId, outcome]) => ({
        confirmationId,
        ...outcome,
      })),
    };
  });

  app.get<{Params: {plan: string}}>('/v1/plans/:plan', async request =>
    getPlanView(options, asId<PlanId>(request.params.plan)),
  );

  app.post<{Params: {plan: string}}>(
    '/v1/plans/:plan/confirm',
    async request => {
      const {confirmationId} = parseConfirmBody(request.body);
      const id = asId<PlanId>(request.params.plan);
      const outcome = await planSubmitter.confirmPlan(
        id,
        confirmationId,
        checkChanges,
      );
      if (outcome.kind === 'refused') throw new ConflictError(outcome.reason);
      return outcome;
    },
  );
}
