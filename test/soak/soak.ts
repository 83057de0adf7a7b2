import {writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {Millis} from '../../src/base/index.js';
import {makeFaultPlan} from './fault_plan.js';
import {listViolations} from './guarantees.js';
import {SoakFleet, SoakFleetOptions} from './soak_fleet.js';

/** Size of a soak. */
export interface SoakOptions extends SoakFleetOptions {
  readonly faults: number;
  readonly lengthMs: Millis;
}

/** Result of a soak run. */
export interface SoakResult {
  readonly violations: readonly string[];
  readonly requests: number;
  readonly served: number;
  /** Folder with the fault plan and the logs of all nodes, if a guarantee was violated. */
  readonly logFolder: string | undefined;
}

/** Runs the real programs under the faults of a seed and checks the guarantees. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const fleet = new SoakFleet(options);
  const plan = makeFaultPlan(options.seed, options);
  try {
    await fleet.start();
    const record = await fleet.run(plan);
    const violations = listViolations(record);
    if (violations.length > 0) {
      fleet.writeLogs();
      const path = join(fleet.folder, 'result.json');
      const {spans, leaves, processorWaits} = record;
      writeFileSync(
        path,
        JSON.stringify(
          {options, plan, broken: violations, spans, leaves, processorWaits},
          null,
          1,
        ),
      );
    } else {
      fleet.removeFolder();
    }
    const served = record.requests.filter(
      ({outcome}) => outcome.kind === 'answered' && outcome.status === 200,
    ).length;
    return {
      violations,
      requests: record.requests.length,
      served,
      logFolder: violations.length > 0 ? fleet.folder : undefined,
    };
  } finally {
    await fleet.stop();
  }
}
