import {
  Account,
  AnnouncedServer,
  ConfigFollower,
  Configuration,
  describeHold,
  Service,
} from '../config/index.js';
import {ServerWithVerdict} from '../health/index.js';
import {Roster} from '../membership/index.js';

/** Data sources of the views. */
export interface ViewSources {
  readonly follower: ConfigFollower;
  readonly roster: Roster;
  /** Whether this node accepts requests of callers. */
  readonly isServing: () => boolean;
  readonly evaluateServers: (service: Service) => readonly ServerWithVerdict[];
}

/** Lists the servers of a service for the checks of plans; ready means usable according to the exclusion rule. */
export function listAnnouncedServers(
  sources: ViewSources,
  service: Service,
): readonly AnnouncedServer[] {
  return sources.evaluateServers(service).map(({known, verdict}) => ({
    server: known.report.server,
    pool: known.report.pool,
    ready: verdict.kind === 'usable',
  }));
}

/** View of one service with its servers and the reason for each exclusion. */
export function makeServiceView(sources: ViewSources, service: Service) {
  const config = sources.follower.getConfiguration();
  const servers = sources.evaluateServers(service).map(({known, verdict}) => ({
    server: known.report.server,
    pool: known.report.pool,
    node: known.record.node,
    dataCentre: known.record.dataCentre,
    phase: known.report.phase,
    health: known.report.health,
    verdict,
  }));
  const pools = Object.values(config.pools)
    .filter(pool => pool.service === service.id)
    .map(pool => ({
      pool: pool.id,
      expected: pool.expected,
      announced: servers.filter(item => item.pool === pool.id).length,
    }));
  const retired = Object.values(config.retired).filter(
    item => item === service.id,
  );
  return {
    service: service.id,
    floor: service.floor,
    rule: service.rule,
    timeoutMs: service.timeoutMs,
    stallMs: service.stallMs,
    queuePerServer: service.queuePerServer,
    expected: pools.reduce((sum, pool) => sum + pool.expected, 0),
    retired: retired.length,
    usable: servers.filter(item => item.verdict.kind === 'usable').length,
    pools,
    servers,
  };
}

/** View of the configuration state, the nodes, and the services with the reason for each excluded server. */
export function makeStatusView(sources: ViewSources) {
  const {follower, roster} = sources;
  const state = follower.getState();
  const hold = follower.getHold();
  const logAgeMs = follower.getLogAge();
  return {
    version: state.config.version,
    next: state.next,
    loaded: follower.isLoaded(),
    serving: sources.isServing(),
    hold: hold ? describeHold(hold) : null,
    logAgeMs: logAgeMs === undefined ? null : Math.round(logAgeMs),
    badRecords: state.badRecords,
    pendingPlans: state.plans.size,
    nodes: roster.list().map(record => ({
      node: record.node,
      dataCentre: record.dataCentre,
      state: record.state,
      configVersion: record.configVersion,
    })),
    services: Object.values(state.config.services).map(service =>
      makeServiceView(sources, service),
    ),
  };
}

/** View of an account without its token hash. */
export function makeAccountView(account: Account): Omit<Account, 'tokenHash'> {
  const {id, partner, ratePerSecond, concurrency} = account;
  return {id, partner, ratePerSecond, concurrency};
}

/** View of the configuration without token hashes. */
export function makeConfigView(config: Configuration) {
  const accounts = Object.values(config.accounts).map(account => [
    account.id,
    makeAccountView(account),
  ]);
  return {...config, accounts: Object.fromEntries(accounts)};
}

/** Lists a page of accounts, sorted by id; `next` is the value of `after` for the following page. */
export function listAccounts(
  config: Configuration,
  after: string,
  limit: number,
  partner: string | undefined,
) {
  const matchingAccounts = Object.values(config.accounts)
    .filter(account => account.id > after)
    .filter(account => partner === undefined || account.partner === partner)
    .sort((a, b) => (a.id < b.id ? -1 : 1));
  const accounts = matchingAccounts.slice(0, limit).map(makeAccountView);
  const last = accounts[accounts.length - 1];
  return {accounts, next: matchingAccounts.length > limit ? last.id : null};
}
