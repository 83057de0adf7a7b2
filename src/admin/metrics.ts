import {Gauge, Registry} from 'prom-client';
import {ViewSources} from './views.js';

const verdicts = [
  'usable',
  'excluded',
  'kept-by-floor',
  'kept-by-common-cause',
] as const;

/** Registers metrics of the fleet as seen by this node; the series do not grow with services, servers or accounts. */
export function registerFleetMetrics(
  registry: Registry,
  sources: ViewSources,
): void {
  new Gauge({
    name: 'fescuewheel_known_nodes',
    help: 'Nodes that this node knows, itself included',
    registers: [registry],
    collect() {
      this.set(sources.roster.list().length);
    },
  });
  new Gauge({
    name: 'fescuewheel_known_servers',
    help: 'Backend servers of all services by the verdict of this node',
    labelNames: ['verdict'],
    registers: [registry],
    collect() {
      const counts = {
        usable: 0,
        excluded: 0,
        'kept-by-floor': 0,
        'kept-by-common-cause': 0,
      };
      const {services} = sources.follower.getConfiguration();
      for (const service of Object.values(services)) {
        for (const {verdict} of sources.evaluateServers(service)) {
          counts[verdict.kind] += 1;
        }
      }
      for (const verdict of verdicts) this.set({verdict}, counts[verdict]);
    },
  });
}
