import {
  asId,
  BackendServerId,
  ConflictError,
  InvalidInputError,
  PoolId,
  ServiceId,
} from '../base/index.js';
import {ChangeOf} from './change_codec.js';
import {EjectionRule, Service} from './configuration.js';
import {ConfigDraft} from './config_draft.js';
import {checkId, checkRange, checkInteger, Range} from './validation.js';
import {presets} from './presets.js';

const defaultTimeoutMs = 5000;
const defaultStallMs = 2000;
const defaultQueuePerServer = 16;

// A probation of 0 ms would divide by zero; thresholds below 1 nat would eject after a single bad response.
const ruleRanges: Readonly<Record<keyof EjectionRule, Range>> = {
  failureThreshold: [1, 1000],
  slowThreshold: [1, 1000],
  slowFactor: [1.1, 100],
  slowFloorMs: [0, 600_000],
  ejectMs: [100, 3_600_000],
  maxEjectMs: [100, 86_400_000],
  probationMs: [100, 3_600_000],
  commonCauseShare: [0.01, 1],
};

function checkRule(rule: EjectionRule): void {
  for (const [field, range] of Object.entries(ruleRanges)) {
    checkRange(field, rule[field as keyof EjectionRule], range);
  }
  if (rule.maxEjectMs < rule.ejectMs) {
    throw new InvalidInputError(
      `maxEjectMs: ${rule.maxEjectMs} is below ejectMs ${rule.ejectMs}; raise maxEjectMs or lower ejectMs`,
    );
  }
}

/** Adds a service with the ejection rule of a preset. */
export function addService(
  draft: ConfigDraft,
  change: ChangeOf<'add-service'>,
): void {
  const id = asId<ServiceId>(change.service);
  checkId('service', id);
  if (draft.get('services', id)) {
    throw new ConflictError(
      `service ${id} exists; use set-rule or set-floor to change it`,
    );
  }
  const timeoutMs = change.timeoutMs ?? defaultTimeoutMs;
  const service: Service = {
    id,
    floor: change.floor,
    rule: presets[change.preset ?? 'careful'],
    timeoutMs,
    stallMs: change.stallMs ?? Math.min(defaultStallMs, timeoutMs),
    queuePerServer: change.queuePerServer ?? defaultQueuePerServer,
  };
  checkInteger('floor', service.floor);
  checkInteger('timeoutMs', service.timeoutMs);
  checkInteger('stallMs', service.stallMs);
  checkInteger('queuePerServer', service.queuePerServer);
  if (service.stallMs > service.timeoutMs) {
    throw new InvalidInputError(
      `stallMs: ${service.stallMs} is above timeoutMs ${service.timeoutMs} and would never act; lower stallMs`,
    );
  }
  draft.set('services', id, service);
  draft.markForFloorCheck(id);
}

/** Removes a service and its retirements; refused while a pool or route refers to it. */
export function removeService(
  draft: ConfigDraft,
  change: ChangeOf<'remove-service'>,
): void {
  const {id} = draft.getService(asId<ServiceId>(change.service));
  const pool = draft.list('pools').find(item => item.service === id);
  if (pool) {
    throw new ConflictError(
      `service ${id} has pool ${pool.id}; remove its pools first`,
    );
  }
  const route = draft.list('routes').find(item => item.service === id);
  if (route) {
    throw new ConflictError(
      `route ${route.id} leads to service ${id}; remove the route first`,
    );
  }
  draft.remove('services', id);
  for (const [server, service] of Object.entries(draft.build(0).retired)) {
    if (service === id) draft.remove('retired', asId<BackendServerId>(server));
  }
}

/** Changes the given fields of an ejection rule, based on the current rule or on a preset. */
export function setRule(
  draft: ConfigDraft,
  change: ChangeOf<'set-rule'>,
): void {
  const service = draft.getService(asId<ServiceId>(change.service));
  const base = change.preset ? presets[change.preset] : service.rule;
  const rule = {...base, ...change.rule};
  checkRule(rule);
  draft.set('services', service.id, {...service, rule});
}

/** Sets the minimum number of ready backend servers that ejection must keep. */
export function setFloor(
  draft: ConfigDraft,
  change: ChangeOf<'set-floor'>,
): void {
  const service = draft.getService(asId<ServiceId>(change.service));
  checkInteger('floor', change.floor);
  draft.set('services', service.id, {...service, floor: change.floor});
  draft.markForFloorCheck(service.id);
}

/** Adds a pool to a service. */
export function addPool(
  draft: ConfigDraft,
  change: ChangeOf<'add-pool'>,
): void {
  const id = asId<PoolId>(change.pool);
  checkId('pool', id);
  const service = draft.getService(asId<ServiceId>(change.service));
  checkInteger('expected', change.expected);
  if (draft.get('pools', id)) {
    throw new ConflictError(`pool ${id} exists; use add-capacity to grow it`);
  }
  draft.set('pools', id, {
    id,
    service: service.id,
    expected: change.expected,
  });
  draft.markForFloorCheck(service.id);
}

function getPool(draft: ConfigDraft, name: string) {
  const pool = draft.get('pools', asId<PoolId>(name));
  if (pool) return pool;
  throw new ConflictError(
    `pool ${name} does not exist; add it with add-pool, or correct the name`,
  );
}

/** Removes a pool; refused for the last pool of a service that a route refers to. */
export function removePool(
  draft: ConfigDraft,
  change: ChangeOf<'remove-pool'>,
): void {
  const pool = getPool(draft, change.pool);
  draft.remove('pools', pool.id);
  draft.markForFloorCheck(pool.service);
  if (draft.list('pools').some(item => item.service === pool.service)) return;
  const route = draft
    .list('routes')
    .find(item => item.service === pool.service);
  if (!route) return;
  throw new ConflictError(
    `pool ${pool.id} is the last of service ${pool.service}, to which route ${route.id} leads; remove the route first`,
  );
}

/** Increases or decreases the expected number of backend servers of a pool. */
export function updateCapacity(
  draft: ConfigDraft,
  change: ChangeOf<'add-capacity'> | ChangeOf<'remove-capacity'>,
): void {
  const pool = getPool(draft, change.pool);
  checkInteger('count', change.count);
  const sign = change.kind === 'add-capacity' ? 1 : -1;
  const expected = pool.expected + sign * change.count;
  checkInteger('expected', expected);
  draft.set('pools', pool.id, {...pool, expected});
  draft.markForFloorCheck(pool.service);
}

/** Retires a backend server; it is subtracted from the expected number until its retirement is removed. */
export function addRetirement(
  draft: ConfigDraft,
  change: ChangeOf<'retire-server'>,
): void {
  const server = asId<BackendServerId>(change.server);
  checkId('server', server);
  const service = draft.getService(asId<ServiceId>(change.service));
  if (draft.get('retired', server)) {
    throw new ConflictError(
      `backend server ${server} is retired already; nothing is left to do`,
    );
  }
  draft.set('retired', server, service.id);
  draft.markForFloorCheck(service.id);
}

/** Removes a retirement, so that the server receives work again, or after the server was removed for good. */
export function removeRetirement(
  draft: ConfigDraft,
  change: ChangeOf<'remove-retirement'>,
): void {
  const server = asId<BackendServerId>(change.server);
  const service = draft.get('retired', server);
  if (!service) {
    throw new ConflictError(
      `backend server ${server} is not retired; correct the name`,
    );
  }
  draft.remove('retired', server);
  draft.markForFloorCheck(service);
}

/** Expected backend servers of a service minus the retired ones; undefined if it has no pool. */
export function countCapacity(
  draft: ConfigDraft,
  service: ServiceId,
): number | undefined {
  const pools = draft.list('pools').filter(pool => pool.service === service);
  if (pools.length === 0) return undefined;
  const retired = draft.list('retired').filter(item => item === service);
  const expected = pools.reduce((sum, pool) => sum + pool.expected, 0);
  return expected - retired.length;
}

/** Throws a ConflictError if the capacity of a marked service is below its floor. */
export function checkFloors(draft: ConfigDraft): void {
  for (const id of draft.listMarkedForFloorCheck()) {
    const service = draft.get('services', id);
    const capacity = service && countCapacity(draft, id);
    if (!service || capacity === undefined || capacity >= service.floor) {
      continue;
    }
    throw new ConflictError(
      `service ${id} would keep ${capacity} expected backend servers, below its floor of ${service.floor}; add capacity or lower the floor in the same plan`,
    );
  }
}
