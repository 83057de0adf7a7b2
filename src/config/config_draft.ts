import {AccountId, ConflictError, RouteId, ServiceId} from '../base/index.js';
import {
  Account,
  Configuration,
  makeNullPrototypeTable,
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
 * A mutable configuration to which the changes of one plan are applied. Tables are copied on their first write, so that
 * a plan of thousands of changes copies each table once, and unchanged tables stay the same objects.
 */
export class ConfigDraft {
  private readonly tables: {-readonly [T in TableName]: Tables[T]};
  private readonly copiedTables = new Set<TableName>();
  private routesByKey: Map<string, RouteId> | undefined;
  private accountsByTokenHash: Map<string, AccountId> | undefined;
  private readonly markedForFloorCheck = new Set<ServiceId>();

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
    this.removeFromIndex(table, id);
    this.getWritableTable(table)[id] = item;
    if (table === 'routes') {
      const route = item as unknown as Route;
      this.routesByKey?.set(makeRouteKey(route), route.id);
    } else if (table === 'accounts') {
      const account = item as unknown as Account;
      this.accountsByTokenHash?.set(account.tokenHash, account.id);
    }
  }

  remove<T extends TableName>(table: T, id: Id<T>): void {
    this.removeFromIndex(table, id);
    delete this.getWritableTable(table)[id];
  }

  /** Returns the service; throws a ConflictError if it does not exist. */
  getService(id: ServiceId): Service {
    const service = this.get('services', id);
    if (service) return service;
    throw new ConflictError(
      `service ${id} does not exist; add it first, or correct the name`,
    );
  }

  /** Finds the route with this host and path prefix. */
  findRoute(host: string, pathPrefix: string): RouteId | undefined {
    this.routesByKey ??= new Map(
      this.list('routes').map(route => [makeRouteKey(route), route.id]),
    );
    return this.routesByKey.get(makeRouteKey({host, pathPrefix}));
  }

  /** Finds the account with this token hash. */
  findAccount(tokenHash: string): AccountId | undefined {
    this.accountsByTokenHash ??= new Map(
      this.list('accounts').map(account => [account.tokenHash, account.id]),
    );
    return this.accountsByTokenHash.get(tokenHash);
  }

  /** Marks a service whose floor must be checked against its capacity after all changes are applied. */
  markForFloorCheck(service: ServiceId): void {
    this.markedForFloorCheck.add(service);
  }

  /** Lists the services marked by `markForFloorCheck`. */
  listMarkedForFloorCheck(): readonly ServiceId[] {
    return [...this.markedForFloorCheck];
  }

  build(version: number): Configuration {
    return {...this.tables, version};
  }

  private removeFromIndex<T extends TableName>(table: T, id: Id<T>): void {
    const existing = this.get(table, id);
    if (!existing) return;
    if (table === 'routes') {
      this.routesByKey?.delete(makeRouteKey(existing as unknown as Route));
    } else if (table === 'accounts') {
      this.accountsByTokenHash?.delete(
        (existing as unknown as Account).tokenHash,
      );
    }
  }

  private getWritableTable<T extends TableName>(
    table: T,
  ): Record<Id<T>, Item<T>> {
    if (!this.copiedTables.has(table)) {
      this.tables[table] = makeNullPrototypeTable(
        this.base[table],
      ) as (typeof this.tables)[T];
      this.copiedTables.add(table);
    }
    return this.tables[table] as Record<Id<T>, Item<T>>;
  }
}
