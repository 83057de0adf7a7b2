import {Configuration, Route} from '../config/index.js';

/** Routes of one host, longest path prefix first. */
type HostRoutes = readonly Route[];

/** Looks up the route of a request; built anew for each configuration. */
export class RouteTable {
  private readonly byHost: ReadonlyMap<string, HostRoutes>;

  constructor(config: Configuration) {
    const byHost = new Map<string, Route[]>();
    for (const route of Object.values(config.routes)) {
      const routes = byHost.get(route.host) ?? [];
      routes.push(route);
      byHost.set(route.host, routes);
    }
    for (const routes of byHost.values()) {
      routes.sort(
        (a, b) =>
          b.pathPrefix.length - a.pathPrefix.length || (a.id < b.id ? -1 : 1),
      );
    }
    this.byHost = byHost;
  }

  /** The route with the longest matching prefix; an exact host goes before `*`. */
  find(host: string, path: string): Route | undefined {
    return (
      findByPath(this.byHost.get(host.toLowerCase()), path) ??
      findByPath(this.byHost.get('*'), path)
    );
  }
}

function findByPath(
  routes: HostRoutes | undefined,
  path: string,
): Route | undefined {
  return routes?.find(route => hasPrefix(path, route.pathPrefix));
}

// A prefix ends at a path segment: /a matches /a, /a/b and /a?x, not /ab.
function hasPrefix(path: string, prefix: string): boolean {
  if (!path.startsWith(prefix)) return false;
  if (prefix.endsWith('/') || path.length === prefix.length) return true;
  return path[prefix.length] === '/' || path[prefix.length] === '?';
}
