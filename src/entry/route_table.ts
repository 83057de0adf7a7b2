import {Configuration, Route} from '../config/index.js';
import {parsePath} from './path.js';

/** Routes of one host by path prefix. */
type HostRoutes = ReadonlyMap<string, Route>;
type RouteIndex = ReadonlyMap<string, HostRoutes>;

// A change that touches no route keeps the table of routes, and with it the index.
const indexes = new WeakMap<Configuration['routes'], RouteIndex>();

/** Looks up the route of a request; built anew for each configuration. */
export class RouteTable {
  private readonly byHost: RouteIndex;

  constructor(config: Configuration) {
    let index = indexes.get(config.routes);
    if (!index) {
      index = buildIndex(Object.values(config.routes));
      indexes.set(config.routes, index);
    }
    this.byHost = index;
  }

  /**
   * The route with the longest prefix of whole path segments; an exact host goes before `*`. Undefined for a path
   * that could be read as belonging to different routes.
   */
  find(host: string, target: string): Route | undefined {
    const readings = parsePath(target);
    if (!readings) return undefined;
    const name = host.toLowerCase().replace(/\.$/, '');
    const found = readings.map(
      path =>
        findByPath(this.byHost.get(name), path) ??
        findByPath(this.byHost.get('*'), path),
    );
    return found.every(route => route === found[0]) ? found[0] : undefined;
  }
}

function buildIndex(routes: readonly Route[]): RouteIndex {
  const byHost = new Map<string, Map<string, Route>>();
  for (const route of routes) {
    const host = route.host.toLowerCase();
    const known = byHost.get(host) ?? new Map<string, Route>();
    known.set(removeEndSlash(route.pathPrefix), route);
    byHost.set(host, known);
  }
  return byHost;
}

function removeEndSlash(path: string): string {
  return path.length > 1 && path.endsWith('/') ? path.slice(0, -1) : path;
}

/** Looks up ever shorter prefixes: one look-up for each segment, however many routes there are. */
function findByPath(
  routes: HostRoutes | undefined,
  path: string,
): Route | undefined {
  if (!routes) return undefined;
  let prefix = removeEndSlash(path);
  while (prefix.length > 1) {
    const route = routes.get(prefix);
    if (route) return route;
    prefix = prefix.slice(0, prefix.lastIndexOf('/'));
  }
  return routes.get('/');
}
