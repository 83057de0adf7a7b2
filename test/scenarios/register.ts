import {readdirSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import test from 'ava';
import {
  checkSteps,
  eventSteps,
  readScenarios,
  Scenario,
  World,
} from '../../src/testing/scenario/index.js';

const folder = fileURLToPath(new URL('../../../scenarios/', import.meta.url));

/**
 * Registers the scenarios of the files scenarios/*.feature whose names pass the filter as tests against real processes.
 * The environment variable FEATURE limits the run to files whose names contain its value.
 */
export function registerScenarios(filter: (name: string) => boolean): void {
  const files = readdirSync(folder).filter(
    name =>
      name.endsWith('.feature') &&
      filter(name) &&
      name.includes(process.env.FEATURE ?? ''),
  );
  for (const name of files) {
    const definitions = [...eventSteps, ...checkSteps];
    for (const scenario of readScenarios(folder + name, definitions)) {
      registerScenario(name, scenario);
    }
  }
}

function registerScenario(name: string, scenario: Scenario<World>): void {
  // Serial, because each scenario starts a dozen processes and checks time limits.
  test.serial(`${name}: ${scenario.name}`, async t => {
    t.timeout(120_000);
    const world = new World();
    try {
      for (const step of scenario.steps) {
        t.log(step.text);
        await step.run(world);
      }
      t.pass();
    } finally {
      await world.stop();
    }
  });
}
