import * as E from 'fp-ts/lib/Either.js';
import {assertNever, asId, BackendServerId, PoolId} from '../base/index.js';
import {
  addAccount,
  removeAccount,
  removePartner,
  setLimit,
  setPartner,
} from './account_rules.js';
import {Change} from './change_codec.js';
import {Configuration} from './configuration.js';
import {ConfigDraft} from './config_draft.js';
import {addRoute, removeRoute} from './route_rules.js';
import {
  addPool,
  addService,
  updateCapacity,
  checkFloors,
  removePool,
  removeRetirement,
  removeService,
  addRetirement,
  setFloor,
  setRule,
} from './service_rules.js';

function applyChange(draft: ConfigDraft, change: Change): void {
  switch (change.kind) {
    case 'add-service':
      return addService(draft, change);
    case 'remove-service':
      return removeService(draft, change);
    case 'set-rule':
      return setRule(draft, change);
    case 'set-floor':
      return setFloor(draft, change);
    case 'add-pool':
      return addPool(draft, change);
    case 'remove-pool':
      return removePool(draft, change);
    case 'add-capacity':
    case 'remove-capacity':
      return updateCapacity(draft, change);
    case 'retire-server':
      return addRetirement(draft, change);
    case 'remove-retirement':
      return removeRetirement(draft, change);
    case 'add-route':
      return addRoute(draft, change);
    case 'remove-route':
      return removeRoute(draft, change);
    case 'set-partner':
      return setPartner(draft, change);
    case 'remove-partner':
      return removePartner(draft, change);
    case 'add-account':
      return addAccount(draft, change);
    case 'remove-account':
      return removeAccount(draft, change);
    case 'set-limit':
      return setLimit(draft, change);
    default:
      return assertNever(change);
  }
}

/**
 * Applies the changes of a plan in order, all or none; floors are checked against capacity after the last change. Left
 * is an InvalidInputError or a ConflictError whose message includes the remedy.
 */
export function applyChanges(
  config: Configuration,
  changes: readonly Change[],
  version: number,
): E.Either<Error, Configuration> {
  return E.tryCatch(() => {
    const draft = new ConfigDraft(config);
    for (const change of changes) applyChange(draft, change);
    checkFloors(draft);
    return draft.build(version);
  }, E.toError);
}

function listTouchedBy(config: Configuration, change: Change): string[] {
  switch (change.kind) {
    case 'add-service':
    case 'remove-service':
      return ['service', 'rule', 'capacity'].map(
        part => `${part}:${change.service}`,
      );
    case 'set-rule':
      return [`rule:${change.service}`];
    case 'set-floor':
      return [`capacity:${change.service}`];
    case 'add-pool':
      return [`pool:${change.pool}`, `capacity:${change.service}`];
    case 'remove-pool':
    case 'add-capacity':
    case 'remove-capacity': {
      const service = config.pools[asId<PoolId>(change.pool)]?.service;
      const pool = `pool:${change.pool}`;
      return service ? [pool, `capacity:${service}`] : [pool];
    }
    case 'retire-server':
      return [`server:${change.server}`, `capacity:${change.service}`];
    case 'remove-retirement': {
      const service = config.retired[asId<BackendServerId>(change.server)];
      const server = `server:${change.server}`;
      return service ? [server, `capacity:${service}`] : [server];
    }
    case 'add-route':
    case 'remove-route':
      return [`route:${change.route}`];
    case 'set-partner':
    case 'remove-partner':
      return [`partner:${change.partner}`];
    case 'add-account':
    case 'remove-account':
    case 'set-limit':
      return [`account:${change.account}`];
    default:
      return assertNever(change);
  }
}

/**
 * Lists the objects that the changes touch, such as `route:hisstage`, for the detection of conflicts. Floor, pools and
 * retirements of a service share the object `capacity:SERVICE`, because the description of a plan states how many
 * servers remain above the floor.
 */
export function listTouchedObjects(
  config: Configuration,
  changes: readonly Change[],
): readonly string[] {
  return [
    ...new Set(changes.flatMap(change => listTouchedBy(config, change))),
  ].sort();
}
