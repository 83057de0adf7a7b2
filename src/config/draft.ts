import {AccountId, ConflictError, RouteId, ServiceId} from '../base/index.js';
import {
  Account,
  Configuration,
  makeTable,
  Route,
  Service,
} from './configuration.js';

type Tables = Omit<Configuration, 'version'>;
type TableName = keyof Tables;
type Id<T extends TableName> = keyof Tables[T];
type Item<T extends TableName> = Tables[T][Id<T>];

function makeRouteKey(route: Pick<Route, 'host' | 'pathPrefix'>): string {
  return `${route.host} ${route.pathPrefix}`;
}

/**
 * A configuration while the changes of one plan are applied. A table is copied at its first write, so that a plan
 * of thousands of changes copies each table once, and tables that no change touches stay the same objects.
 */
export class ConfigDraft {
  private readonly tables: {-readonly [T in TableName]: Tables[T]};
  private readonly copied = new Set<TableName>();
  private routeKeys: Map<string, RouteId> | undefined;
  private tokenHashes: Map<string, AccountId> | undefined;
  private readonly resized = new Set<ServiceId>();

  constructor(private readonly base: Configuration) {
    this.tables = {...base};
  }

  get<T extends TableName>(table: T, id: Id<T>): Item<T> | undefined {
    return this.tables[table][id];
  }

  list<T extends TableName>(table: T): readonly Item<T>[] {
    return Object.values(this.tables[table]);
  }

  set<T extends TableName>(table: T, id: Id<T>, item: Item<T>): void {
    this.removeIndexed(table, id);
    this.prepareTable(table)[id] = item;
    if (table === 'routes') {
      const route = item as unknown as Route;
      this.routeKeys?.set(makeRouteKey(route), route.id);
    } else if (table === 'accounts') {
      const account = item as unknown as Account;
      this.tokenHashes?.set(account.tokenHash, account.id);
    }
  }

  remove<T extends TableName>(table: T, id: Id<T>): void {
    this.removeIndexed(table, id);
    delete this.prepareTable(table)[id];
  }

  /** The service, or an error that says to add it. */
  getService(id: ServiceId): Service {
    const service = this.get('services', id);
    if (service) return service;
    throw new ConflictError(
      `service ${id} does not exist; add it first, or correct the name`,
    );
  }

  /** The route with this host and path prefix. */
  findRoute(host: string, pathPrefix: string): RouteId | undefined {
    this.routeKeys ??= new Map(
      this.list('routes').map(route => [makeRouteKey(route), route.id]),
    );
    return this.routeKeys.get(makeRouteKey({host, pathPrefix}));
  }

  /** The account with this token. */
  findAccount(tokenHash: string): AccountId | undefined {
    this.tokenHashes ??= new Map(
      this.list('accounts').map(account => [account.tokenHash, account.id]),
    );
    return this.tokenHashes.get(tokenHash);
  }

  /** Marks a service whose floor must be compared with its capacity once all changes are applied. */
  checkCapacityLater(service: ServiceId): void {
    this.resized.add(service);
  }

  /** Services marked by `checkCapacityLater`. */
  listResized(): readonly ServiceId[] {
    return [...this.resized];
  }

  build(version: number): Configuration {
    return {...this.tables, version};
  }

  private removeIndexed<T extends TableName>(table: T, id: Id<T>): void {
    const known = this.get(table, id);
    if (!known) return;
    if (table === 'routes') {
      this.routeKeys?.delete(makeRouteKey(known as unknown as Route));
    } else if (table === 'accounts') {
      this.tokenHashes?.delete((known as unknown as Account).tokenHash);
    }
  }

  private prepareTable<T extends TableName>(table: T): Record<Id<T>, Item<T>> {
    if (!this.copied.has(table)) {
      this.tables[table] = makeTable(
        this.base[table],
      ) as (typeof this.tables)[T];
      this.copied.add(table);
    }
    return this.tables[table] as Record<Id<T>, Item<T>>;
  }
}
