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

/** What came of a soak. */
export interface SoakResult {
  readonly violations: readonly string[];
  readonly requests: number;
  readonly served: number;
  /** Folder with the plan and the logs of all nodes, if a promise was broken. */
  readonly logFolder: string | undefined;
}

/** Runs the real programs under the faults of a seed and checks the promises. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const world = new SoakFleet(options);
  const plan = makeFaultPlan(options.seed, options);
  try {
    await world.start();
    const record = await world.run(plan);
    const broken = listViolations(record);
    if (broken.length > 0) {
      world.writeLogs();
      const path = join(world.folder, 'result.json');
      const {spans, leaves, processorWaits} = record;
      writeFileSync(
        path,
        JSON.stringify(
          {options, plan, broken, spans, leaves, processorWaits},
          null,
          1,
        ),
      );
    } else {
      world.removeFolder();
    }
    const served = record.requests.filter(
      ({outcome}) => outcome.kind === 'answered' && outcome.status === 200,
    ).length;
    return {
      violations: broken,
      requests: record.requests.length,
      served,
      logFolder: broken.length > 0 ? world.folder : undefined,
    };
  } finally {
    await world.stop();
  }
}
