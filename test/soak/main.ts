import {cac} from 'cac';
import {runSoak} from './soak.js';

// Runs the fault soak by hand: node dist/test/soak/main.js --seeds 50

const cli = cac('soak');
cli
  .command(
    '',
    'Run the real programs under random faults and check their guarantees',
  )
  .option('--seed <n>', 'First seed; derived from the time if absent')
  .option('--seeds <n>', 'Number of seeds', {default: 1})
  .option('--nodes <n>', 'Nodes of the fleet', {default: 5})
  .option('--faults <n>', 'Faults per run', {default: 14})
  .option('--seconds <n>', 'Time over which the faults start', {default: 12})
  .option('--port <n>', 'First of eight ports on loopback addresses', {
    default: 23_000,
  })
  .action(runSeeds);
cli.help();

interface Flags {
  readonly seed?: number;
  readonly seeds: number;
  readonly nodes: number;
  readonly faults: number;
  readonly seconds: number;
  readonly port: number;
}

async function runSeeds(flags: Flags): Promise<void> {
  const first = flags.seed ?? Math.floor(Date.now() / 1000) % 1_000_000;
  let failed = 0;
  for (let seed = first; seed < first + flags.seeds; seed += 1) {
    const {violations, requests, served, logFolder} = await runSoak({
      seed,
      nodes: flags.nodes,
      faults: flags.faults,
      lengthMs: flags.seconds * 1000,
      basePort: flags.port,
    });
    if (violations.length > 0) failed += 1;
    console.log(
      `seed ${seed}: ${served} of ${requests} served, ${violations.length} violated guarantees`,
    );
    for (const line of violations.slice(0, 5))
      console.log(`  ${line.slice(0, 700)}`);
    if (logFolder) console.log(`  logs in ${logFolder}`);
  }
  console.log(`${flags.seeds} seeds, ${failed} with a violated guarantee`);
  process.exitCode = failed > 0 ? 1 : 0;
}

cli.parse(process.argv, {run: false});
await cli.runMatchedCommand();
