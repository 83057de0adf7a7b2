import {Millis, RouteId, ServiceId} from '../base/index.js';

/** The weight of a service within a route. */
export interface ServiceShare {
  readonly service: ServiceId;
  readonly weight: number;
}

/** One route of the operator's configuration. */
export interface RoutingRoute {
  readonly id: RouteId;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  /** Whether a request may run more than once. */
  readonly isIdempotent: boolean;
  /** Whether responses are large. */
  readonly isBulk: boolean;
  /** Maximum time until the caller gets a response. */
  readonly timeoutMs: Millis;
  /** Target latency; later responses are worth less to the caller. */
  readonly targetMs: Millis;
  /** Priority; 0 is the highest. */
  readonly priority: number;
  /** Maximum number of backend servers that one request may be sent to. */
  readonly maxAttempts: number;
  /** At least one; weights are positive. */
  readonly shares: readonly ServiceShare[];
}

/** Limits on the requests and idle connections of callers. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: Millis;
  readonly idleTimeoutMs: Millis;
}

/** One version of the operator's configuration. */
export interface Routing {
  readonly version: number;
  readonly routes: readonly RoutingRoute[];
  readonly services: ReadonlySet<ServiceId>;
  readonly limits: CallerLimits;
}

/** Looks up the route of a request by host and longest path prefix. */
export class RoutingTable {
  private readonly byHost = new Map<string, Map<string, RoutingRoute>>();

  constructor(readonly routing: Routing) {
    for (const route of routing.routes) {
      const host = route.host.toLowerCase();
      const routes = this.byHost.get(host) ?? new Map();
      routes.set(route.pathPrefix, route);
      this.byHost.set(host, routes);
    }
  }

  /** Finds the route of a request with one lookup per path segment, independent of the number of routes. */
  find(host: string, target: string): RoutingRoute | undefined {
    const routes = this.byHost.get(removePort(host.toLowerCase()));
    if (!routes) return undefined;
    const query = target.indexOf('?');
    const path = query < 0 ? target : target.slice(0, query);
    for (
      let slash = path.lastIndexOf('/');
      slash >= 0;
      slash = slash > 0 ? path.lastIndexOf('/', slash - 1) : -1
    ) {
      const route = routes.get(path.slice(0, slash + 1));
      if (route) return route;
    }
    return undefined;
  }
}

function removePort(host: string): string {
  const colon = host.lastIndexOf(':');
  return colon > 0 ? host.slice(0, colon) : host;
}
