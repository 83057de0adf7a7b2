import {Configuration, Route} from '../config/index.js';
import {parsePathInterpretations} from './path.js';

/** Routes of one host by path prefix. */
type HostRoutes = ReadonlyMap<string, Route>;
type RouteIndex = ReadonlyMap<string, HostRoutes>;

// A configuration change that touches no route keeps the same `routes` object, so its index is reused.
const indexCache = new WeakMap<Configuration['routes'], RouteIndex>();

/** Looks up the route of a request; one instance per configuration. */
export class RouteTable {
  private readonly byHost: RouteIndex;

  constructor(config: Configuration) {
    let index = indexCache.get(config.routes);
    if (!index) {
      index = buildIndex(Object.values(config.routes));
      indexCache.set(config.routes, index);
    }
    this.byHost = index;
  }

  /**
   * Returns the route with the longest matching prefix of whole path segments; an exact host takes precedence over
   * `*`. Undefined for a path whose interpretations match different routes.
   */
  find(host: string, target: string): Route | undefined {
    const interpretations = parsePathInterpretations(target);
    if (!interpretations) return undefined;
    const name = host.toLowerCase().replace(/\.$/, '');
    const found = interpretations.map(
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

/** Tries prefixes from the longest to the shortest: one lookup per segment, whatever the number of routes. */
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
