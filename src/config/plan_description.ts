import {asId, assertNever, ConflictError, ServiceId} from '../base/index.js';
import {Change} from './change_codec.js';
import {Configuration} from './configuration.js';

/** An announced backend server. */
export interface AnnouncedServer {
  readonly server: string;
  readonly pool: string;
  /**
   * Usable according to the exclusion rule: announced as ready, neither retired nor ejected, and on a node that is
   * neither leaving, unreachable nor suspected.
   */
  readonly ready: boolean;
}

/** Lists the backend servers of a service as known to this node. */
export type ListAnnouncedServers = (
  service: ServiceId,
) => readonly AnnouncedServer[];

/** Describes the effect of one change of a plan and when it takes place. */
export interface PlanStep {
  readonly kind: Change['kind'];
  readonly sentence: string;
  readonly data: Readonly<Record<string, string | number | boolean>>;
}

const inForcePrefix = 'Within 6 s of the confirmation, on every node:';

function listRetiring(
  changes: readonly Change[],
  service: string,
): ReadonlySet<string> {
  return new Set(
    changes.flatMap(change =>
      change.kind === 'retire-server' && change.service === service
        ? [change.server]
        : [],
    ),
  );
}

/** Throws a ConflictError if the retirements of a plan would leave fewer ready servers than the floor of a service. */
export function checkRetirements(
  config: Configuration,
  changes: readonly Change[],
  listAnnounced: ListAnnouncedServers,
): void {
  for (const change of changes) {
    if (change.kind !== 'retire-server') continue;
    const service = config.services[asId<ServiceId>(change.service)];
    if (!service) continue;
    const {remaining, floor} = countReadyAfterRetirement(
      config,
      changes,
      service.id,
      listAnnounced,
    );
    if (remaining >= floor) continue;
    throw new ConflictError(
      `retiring ${change.server} would leave ${remaining} ready backend servers of ${service.id}, below its floor of ${floor}; add capacity and wait until it is ready, or lower the floor`,
    );
  }
}

function countReadyAfterRetirement(
  config: Configuration,
  changes: readonly Change[],
  service: ServiceId,
  listAnnounced: ListAnnouncedServers,
): {remaining: number; floor: number} {
  const retiring = listRetiring(changes, service);
  const floors = changes.flatMap(change =>
    change.kind === 'set-floor' && change.service === service
      ? [change.floor]
      : [],
  );
  const remaining = listAnnounced(service).filter(
    item => item.ready && !retiring.has(item.server),
  ).length;
  return {
    remaining,
    floor: floors[floors.length - 1] ?? config.services[service]?.floor ?? 0,
  };
}

/** Describes the effect of each change; `after` is the configuration with all changes applied. */
export function describePlan(
  config: Configuration,
  after: Configuration,
  changes: readonly Change[],
  listAnnounced: ListAnnouncedServers,
): readonly PlanStep[] {
  return changes.map(change => {
    const {kind, ...data} = change;
    const scalarFields = Object.entries(data).filter(
      ([key, value]) => key !== 'tokenHash' && typeof value !== 'object',
    );
    const [sentence, extraData] = describeChange(change, {
      config,
      after,
      changes,
      listAnnounced,
    });
    return {
      kind,
      sentence,
      data: {
        ...Object.fromEntries(scalarFields),
        ...extraData,
      } as PlanStep['data'],
    };
  });
}

interface DescriptionContext {
  readonly config: Configuration;
  readonly after: Configuration;
  readonly changes: readonly Change[];
  readonly listAnnounced: ListAnnouncedServers;
}

type ChangeDescription = readonly [string, PlanStep['data']?];

function describeRetire(
  change: Extract<Change, {kind: 'retire-server'}>,
  context: DescriptionContext,
): ChangeDescription {
  const {remaining, floor} = countReadyAfterRetirement(
    context.config,
    context.changes,
    asId<ServiceId>(change.service),
    context.listAnnounced,
  );
  return [
    `From the confirmation on, ${change.server} receives no new work within 2 s; its requests in flight end; ${remaining} ready backend servers of ${change.service} remain, floor ${floor}.`,
    {readyRemaining: remaining, floor, noNewWorkWithinMs: 2000},
  ];
}

function describePool(
  name: string,
  context: DescriptionContext,
): ChangeDescription {
  const pool = Object.values(context.after.pools).find(
    item => item.id === name,
  );
  if (!pool) return [`${inForcePrefix} pool ${name} is no longer planned for.`];
  const announced = context
    .listAnnounced(pool.service)
    .filter(item => item.pool === name);
  const ready = announced.filter(item => item.ready).length;
  return [
    `${inForcePrefix} pool ${name} of ${pool.service} expects ${pool.expected} backend servers; ${announced.length} have announced themselves, ${ready} are ready; further ones take work as soon as they announce that they are ready.`,
    {
      service: pool.service,
      expected: pool.expected,
      announced: announced.length,
      ready,
    },
  ];
}

function describeChange(
  change: Change,
  context: DescriptionContext,
): ChangeDescription {
  switch (change.kind) {
    case 'retire-server':
      return describeRetire(change, context);
    case 'add-pool':
    case 'add-capacity':
    case 'remove-capacity':
    case 'remove-pool':
      return describePool(change.pool, context);
    case 'remove-retirement':
      return [
        `${inForcePrefix} ${change.server} is no longer retired; if it announces that it is ready, it receives work.`,
      ];
    case 'add-service':
      return [
        `${inForcePrefix} service ${change.service} exists with floor ${change.floor} and the preset ${change.preset ?? 'careful'}.`,
      ];
    case 'remove-service':
      return [`${inForcePrefix} service ${change.service} no longer exists.`];
    case 'set-rule': {
      const changedFields = Object.entries(change.rule)
        .map(([key, value]) => `${key} ${value}`)
        .join(', ');
      const preset = change.preset ? `the preset ${change.preset}` : '';
      const parts = [preset, changedFields]
        .filter(part => part !== '')
        .join(' with ');
      return [
        `${inForcePrefix} the ejection rule of ${change.service} is changed to ${parts || 'itself'}; ejections in progress keep their end.`,
      ];
    }
    case 'set-floor': {
      const ready = context
        .listAnnounced(asId<ServiceId>(change.service))
        .filter(item => item.ready).length;
      return [
        `${inForcePrefix} ejection keeps at least ${change.floor} ready backend servers of ${change.service}; ${ready} are ready.`,
        {ready},
      ];
    }
    case 'add-route':
      return [
        `${inForcePrefix} requests of host ${change.host} below ${change.pathPrefix} go to ${change.service}.`,
      ];
    case 'remove-route':
      return [
        `${inForcePrefix} route ${change.route} takes no new requests; those in flight end.`,
      ];
    case 'set-partner':
      return [
        `${inForcePrefix} partner ${change.partner} has weight ${change.weight} where slots are contended.`,
      ];
    case 'remove-partner':
      return [`${inForcePrefix} partner ${change.partner} no longer exists.`];
    case 'add-account':
      return [
        `${inForcePrefix} account ${change.account} of partner ${change.partner} is admitted.`,
      ];
    case 'remove-account':
      return [
        `${inForcePrefix} account ${change.account} is refused; its requests in flight end.`,
      ];
    case 'set-limit':
      return [
        `${inForcePrefix} each node admits ${change.ratePerSecond || 'any number of'} requests/s and ${change.concurrency || 'any number'} at once from ${change.account}.`,
      ];
    default:
      return assertNever(change);
  }
}
