import {cac} from 'cac';
import * as E from 'fp-ts/lib/Either.js';
import {
  exitWith,
  handleStopSignals,
  openLogger,
  runProgram,
  systemClock,
} from '../base/index.js';
import {FleetNode} from './node.js';
import {readSettings} from './settings.js';

const cli = cac('fescuewheeld');
cli
  .command('', 'Run the node of this VM')
  .option('--config <file>', 'Settings in TOML')
  .option('--check-config', 'Check the settings and exit')
  .example('  fescuewheeld --config /etc/fescuewheel.toml')
  .example('  fescuewheeld --config node.toml --check-config')
  .action(runDaemon);
cli.help();

async function runDaemon(flags: {
  config?: string;
  checkConfig?: boolean;
}): Promise<void> {
  if (!flags.config) exitWith(2, '--config FILE.toml is required; see --help');
  const settings = readSettings(String(flags.config));
  if (E.isLeft(settings)) exitWith(2, settings.left.message);
  if (flags.checkConfig) exitWith(0, `${flags.config}: settings are valid`);
  const {node, logging} = settings.right;
  const logger = openLogger('fescuewheeld', logging.level, {node: node.id});
  const fleetNode = new FleetNode(settings.right, systemClock, logger);
  handleStopSignals(() => fleetNode.stop());
  await fleetNode.start();
}

await runProgram('fescuewheeld', cli);
