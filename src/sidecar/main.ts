import {watchFile} from 'node:fs';
import {cac} from 'cac';
import * as E from 'fp-ts/lib/Either.js';
import {
  exitWith,
  handleStopSignals,
  openLogger,
  runProgram,
  systemClock,
} from '../base/index.js';
import {
  buildAnnouncementPort,
  buildReadinessPort,
  createLogStore,
  getSettingsPath,
  nodesTopic,
  operatorConfigKey,
  operatorTopic,
  parseOperatorConfig,
  readSettings,
} from '../../platform/index.js';
import {SidecarNode} from './node.js';
import {SidecarSettings} from './settings.js';

/** Port of /metrics on the address of the VM; deploy/system.toml gives the same port to the platform. */
const metricsPort = 9464;
/** Interval at which the settings file is checked, as it may change without a signal. */
const settingsPollMs = 2000;

const cli = cac('fescuewheel-sidecar');
cli
  .command('', 'Run the node beside one backend server on the platform')
  .option(
    '--config <file>',
    'Settings file; by default the one set by the platform',
  )
  .option('--check-config', 'Check the settings and exit')
  .option('--link-address <host:port>', 'Where other nodes reach the link port')
  .example('  fescuewheel-sidecar --config settings.toml --check-config')
  .action(runSidecar);
cli.help();

async function runSidecar(flags: {
  config?: string;
  checkConfig?: boolean;
  linkAddress?: string;
}): Promise<void> {
  const path = flags.config ?? getSettingsPath();
  if (!path) exitWith(2, 'give --config FILE.toml; see --help');
  const settings = readSettings(path);
  if (E.isLeft(settings)) exitWith(2, settings.left.message);
  if (flags.checkConfig) exitWith(0, `${path}: settings are valid`);
  const {linkAddress = settings.right.linkAddress} = flags;
  await runNode(path, {...settings.right, linkAddress});
}

async function runNode(path: string, settings: SidecarSettings): Promise<void> {
  const logger = openLogger('fescuewheel', 'info', {node: settings.node});
  const store = createLogStore(settings.storeUrl, settings.address);
  const node = new SidecarNode(
    settings,
    {
      store,
      routingSource: {
        topic: operatorTopic,
        key: operatorConfigKey,
        decode: parseOperatorConfig,
      },
      nodesTopic,
      metricsPort,
      portBuilders: {
        buildAnnouncementPort: guard =>
          buildAnnouncementPort({
            onReport: report => guard.presence.applyReport(report),
            onMalformed: reason =>
              logger.warn({reason}, 'backend server report ignored: malformed'),
            onDeregister: notice => guard.presence.recordDeregistration(notice),
          }),
        buildReadinessPort,
      },
    },
    systemClock,
    logger,
  );
  const updateSettings = () => {
    const changed = readSettings(path);
    if (E.isRight(changed)) {
      const {linkAddress} = settings;
      node.updateSettings({...changed.right, linkAddress});
    } else {
      logger.error(
        {error: changed.left.message},
        'invalid settings ignored; keeping the previous ones',
      );
    }
  };
  handleStopSignals(() => node.stop());
  process.on('SIGHUP', updateSettings);
  watchFile(path, {interval: settingsPollMs}, updateSettings);
  await node.start();
}

void runProgram('fescuewheel-sidecar', cli);
