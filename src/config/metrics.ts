import {Gauge, Registry} from 'prom-client';
import {ConfigFollower} from './follower.js';

/** Registers the metrics of the configuration; the number of series does not depend on the number of objects. */
export function registerConfigMetrics(
  registry: Registry,
  follower: ConfigFollower,
): void {
  const gauges: readonly [string, string, () => number][] = [
    [
      'version',
      'Version in force, the log offset of its confirmation',
      () => follower.getConfiguration().version,
    ],
    [
      'next_offset',
      'Offset of the next record to fold',
      () => follower.getState().next,
    ],
    [
      'log_age_seconds',
      'Time since the log was last read, -1 if never',
      () => (follower.getLogAge() ?? -1000) / 1000,
    ],
    [
      'held',
      '1 while the node cannot fold on',
      () => (follower.getHold() ? 1 : 0),
    ],
    [
      'pending_plans',
      'Plans that wait for confirmation',
      () => follower.getState().plans.size,
    ],
  ];
  for (const [name, help, measure] of gauges) {
    new Gauge({
      name: `fescuewheel_config_${name}`,
      help,
      registers: [registry],
      collect() {
        this.set(measure());
      },
    });
  }
  new Gauge({
    name: 'fescuewheel_config_bad_records',
    help: 'Records of the log that were skipped, by reason',
    labelNames: ['reason'],
    registers: [registry],
    collect() {
      const counts = follower.getState().badRecords;
      for (const reason of ['malformed', 'forged', 'too-large', 'unknown']) {
        this.set({reason}, counts[reason as keyof typeof counts] ?? 0);
      }
    },
  });
}
