import {readdirSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import test from 'ava';
import {
  checks,
  events,
  readScenarios,
  World,
} from '../../src/testing/scenario/index.js';

// Runs each scenario of scenarios/*.feature against real processes. FEATURE limits the run to files whose name
// contains its value.

const folder = fileURLToPath(new URL('../../../scenarios/', import.meta.url));
const files = readdirSync(folder).filter(
  name => name.endsWith('.feature') && name.includes(process.env.FEATURE ?? ''),
);

for (const name of files) {
  for (const scenario of readScenarios(folder + name, [...events, ...checks])) {
    // Serial, because each scenario is a dozen processes and measures times.
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
}
