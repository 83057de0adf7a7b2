import * as E from 'fp-ts/lib/Either.js';
import * as t from 'io-ts';
import {
  AccountId,
  assertNever,
  asId,
  BackendServerId,
  ConflictError,
  PartnerId,
  PoolId,
  RouteId,
  ServiceId,
} from '../base/index.js';
import {Configuration, Service} from './configuration.js';
import {presets} from './presets.js';

const addServiceCodec = t.intersection([
  t.type({kind: t.literal('add-service'), service: t.string, floor: t.number}),
  t.partial({
    preset: t.keyof({careful: null, prompt: null}),
    timeoutMs: t.number,
    stallMs: t.number,
    queuePerServer: t.number,
  }),
]);
const ruleCodec = t.partial({
  failureThreshold: t.number,
  slowThreshold: t.number,
  slowFactor: t.number,
  slowFloorMs: t.number,
  ejectMs: t.number,
  maxEjectMs: t.number,
  probationMs: t.number,
  commonCauseShare: t.number,
});
const addRouteCodec = t.intersection([
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
]);
const addAccountCodec = t.intersection([
  t.type({
    kind: t.literal('add-account'),
    account: t.string,
    partner: t.string,
    tokenHash: t.string,
  }),
  t.partial({ratePerSecond: t.number, concurrency: t.number}),
]);

/** One step of an operator's intent. */
export const changeCodec = t.union([
  addServiceCodec,
  t.type({kind: t.literal('remove-service'), service: t.string}),
  t.type({
    kind: t.literal('add-pool'),
    pool: t.string,
    service: t.string,
    expected: t.number,
  }),
  t.type({kind: t.literal('remove-pool'), pool: t.string}),
  t.type({kind: t.literal('add-capacity'), pool: t.string, count: t.number}),
  addRouteCodec,
  t.type({kind: t.literal('remove-route'), route: t.string}),
  t.type({
    kind: t.literal('set-partner'),
    partner: t.string,
    weight: t.number,
  }),
  addAccountCodec,
  t.type({kind: t.literal('remove-account'), account: t.string}),
  t.type({
    kind: t.literal('retire-server'),
    server: t.string,
    service: t.string,
  }),
  t.intersection([
    t.type({kind: t.literal('set-rule'), service: t.string, rule: ruleCodec}),
    t.partial({preset: t.keyof({careful: null, prompt: null})}),
  ]),
  t.type({kind: t.literal('set-floor'), service: t.string, floor: t.number}),
  t.type({
    kind: t.literal('set-limit'),
    account: t.string,
    ratePerSecond: t.number,
    concurrency: t.number,
  }),
]);

/** One step of an operator's intent. */
export type Change = t.TypeOf<typeof changeCodec>;

function makeService(change: t.TypeOf<typeof addServiceCodec>): Service {
  return {
    id: asId<ServiceId>(change.service),
    floor: change.floor,
    rule: presets[change.preset ?? 'careful'],
    timeoutMs: change.timeoutMs ?? 5000,
    stallMs: change.stallMs ?? 2000,
    queuePerServer: change.queuePerServer ?? 16,
  };
}

function refuse(message: string): E.Either<Error, Configuration> {
  return E.left(new ConflictError(message));
}

/** Applies one change; Left says why it does not fit and what to do. */
export function applyChange(
  config: Configuration,
  change: Change,
): E.Either<Error, Configuration> {
  switch (change.kind) {
    case 'add-service': {
      const service = makeService(change);
      if (config.services[service.id]) {
        return refuse(
          `service ${service.id} exists; use set-rule or set-floor to change it`,
        );
      }
      return E.right({
        ...config,
        services: {...config.services, [service.id]: service},
      });
    }
    case 'remove-service': {
      const {[asId<ServiceId>(change.service)]: removed, ...services} =
        config.services;
      if (!removed) return refuse(`service ${change.service} does not exist`);
      const used = Object.values(config.routes).find(
        route => route.service === removed.id,
      );
      if (used) return refuse(`route ${used.id} leads to it; remove it first`);
      return E.right({...config, services});
    }
    case 'add-pool': {
      const id = asId<PoolId>(change.pool);
      const service = asId<ServiceId>(change.service);
      if (config.pools[id]) return refuse(`pool ${id} exists`);
      if (!config.services[service]) {
        return refuse(`service ${service} does not exist; add it first`);
      }
      const pool = {id, service, expected: change.expected};
      return E.right({...config, pools: {...config.pools, [id]: pool}});
    }
    case 'remove-pool': {
      const {[asId<PoolId>(change.pool)]: removed, ...pools} = config.pools;
      if (!removed) return refuse(`pool ${change.pool} does not exist`);
      return E.right({...config, pools});
    }
    case 'add-capacity': {
      const pool = config.pools[asId<PoolId>(change.pool)];
      if (!pool) return refuse(`pool ${change.pool} does not exist`);
      const grown = {...pool, expected: pool.expected + change.count};
      return E.right({...config, pools: {...config.pools, [pool.id]: grown}});
    }
    case 'add-route': {
      const id = asId<RouteId>(change.route);
      const service = asId<ServiceId>(change.service);
      if (config.routes[id]) return refuse(`route ${id} exists`);
      if (!config.services[service]) {
        return refuse(`service ${service} does not exist; add it first`);
      }
      const route = {
        id,
        service,
        host: change.host,
        pathPrefix: change.pathPrefix,
        idempotent: change.idempotent ?? 'by-method',
        requireKey: change.requireKey ?? false,
      };
      return E.right({...config, routes: {...config.routes, [id]: route}});
    }
    case 'remove-route': {
      const {[asId<RouteId>(change.route)]: removed, ...routes} = config.routes;
      if (!removed) return refuse(`route ${change.route} does not exist`);
      return E.right({...config, routes});
    }
    case 'set-partner': {
      const id = asId<PartnerId>(change.partner);
      return E.right({
        ...config,
        partners: {...config.partners, [id]: {id, weight: change.weight}},
      });
    }
    case 'add-account': {
      const id = asId<AccountId>(change.account);
      const partner = asId<PartnerId>(change.partner);
      if (config.accounts[id]) return refuse(`account ${id} exists`);
      if (!config.partners[partner]) {
        return refuse(
          `partner ${partner} does not exist; use set-partner first`,
        );
      }
      const account = {
        id,
        partner,
        tokenHash: change.tokenHash,
        ratePerSecond: change.ratePerSecond ?? 0,
        concurrency: change.concurrency ?? 0,
      };
      return E.right({
        ...config,
        accounts: {...config.accounts, [id]: account},
      });
    }
    case 'remove-account': {
      const {[asId<AccountId>(change.account)]: removed, ...accounts} =
        config.accounts;
      if (!removed) return refuse(`account ${change.account} does not exist`);
      return E.right({...config, accounts});
    }
    case 'retire-server': {
      const service = asId<ServiceId>(change.service);
      const server = asId<BackendServerId>(change.server);
      if (!config.services[service]) {
        return refuse(`service ${service} does not exist`);
      }
      return E.right({
        ...config,
        retired: {...config.retired, [server]: service},
      });
    }
    case 'set-rule': {
      const service = config.services[asId<ServiceId>(change.service)];
      if (!service) return refuse(`service ${change.service} does not exist`);
      const base = change.preset ? presets[change.preset] : service.rule;
      const changed = {...service, rule: {...base, ...change.rule}};
      return E.right({
        ...config,
        services: {...config.services, [service.id]: changed},
      });
    }
    case 'set-floor': {
      const service = config.services[asId<ServiceId>(change.service)];
      if (!service) return refuse(`service ${change.service} does not exist`);
      const changed = {...service, floor: change.floor};
      return E.right({
        ...config,
        services: {...config.services, [service.id]: changed},
      });
    }
    case 'set-limit': {
      const account = config.accounts[asId<AccountId>(change.account)];
      if (!account) return refuse(`account ${change.account} does not exist`);
      const changed = {
        ...account,
        ratePerSecond: change.ratePerSecond,
        concurrency: change.concurrency,
      };
      return E.right({
        ...config,
        accounts: {...config.accounts, [account.id]: changed},
      });
    }
    default:
      return assertNever(change);
  }
}
