import {cac} from 'cac';
import {request} from 'undici';
import {runEvery, systemClock} from '../base/index.js';
import {buildBackendServer} from './backend_server.js';
import {buildLogService} from './log_service.js';
import {buildRelayControl, openRelay} from './relay.js';

const announcePeriodMs = 500;

interface BackendFlags {
  readonly id: string;
  readonly service: string;
  readonly pool: string;
  readonly address: string;
  readonly port: number;
  readonly announce: string;
  readonly slots: number;
  readonly workMs: number;
  readonly coldStartMs: number;
}

async function runBackend(flags: BackendFlags): Promise<void> {
  const server = buildBackendServer({
    ...flags,
    onRun: run => console.log(JSON.stringify({run})),
  });
  await server.app.listen({host: flags.address, port: flags.port});
  const {port} = server.app.server.address() as {port: number};
  const incarnation = Math.floor(systemClock.getTime());
  const stop = new AbortController();

  async function announcePhase(phase: string): Promise<void> {
    await request(`${flags.announce}/announce`, {
      method: 'POST',
      headers: {'content-type': 'application/json'},
      body: JSON.stringify({
        server: flags.id,
        service: flags.service,
        pool: flags.pool,
        address: `${flags.address}:${port}`,
        incarnation,
        slots: flags.slots,
        phase,
      }),
    })
      .then(answer => answer.body.dump())
      .catch(() => undefined);
  }

  process.once('SIGTERM', () => {
    server.drain();
    void announcePhase('draining')
      .then(() => systemClock.sleep(announcePeriodMs))
      .then(() => announcePhase('stopped'))
      .then(() => process.exit(0));
  });
  console.log(JSON.stringify({listening: port, id: flags.id}));
  await announcePhase(server.getPhase());
  await runEvery(systemClock, announcePeriodMs, stop.signal, () =>
    announcePhase(server.getPhase()),
  );
}

const cli = cac('standins');
cli
  .command('log', 'Run the log service stand-in')
  .option('--address <ip>', 'Listen address', {default: '127.0.0.1'})
  .option('--port <port>', 'Listen port', {default: 0})
  .option('--retention-ms <ms>', 'Retention of records', {default: 86_400_000})
  .action(async flags => {
    const app = buildLogService(Number(flags.retentionMs));
    await app.listen({host: flags.address, port: Number(flags.port)});
    const {port} = app.server.address() as {port: number};
    console.log(JSON.stringify({listening: port}));
  });
cli
  .command('backend', 'Run a backend server stand-in')
  .option('--id <id>', 'Id')
  .option('--service <id>', 'Service')
  .option('--pool <id>', 'Pool')
  .option('--announce <url>', 'Announce URL of the node on the same VM')
  .option('--address <ip>', 'Listen address', {default: '127.0.0.1'})
  .option('--port <port>', 'Listen port', {default: 0})
  .option('--slots <n>', 'Slots', {default: 5})
  .option('--work-ms <ms>', 'Processing time of a request', {default: 5})
  .option('--cold-start-ms <ms>', 'Length of the cold start', {default: 0})
  .action(flags =>
    runBackend({
      ...flags,
      port: Number(flags.port),
      slots: Number(flags.slots),
      workMs: Number(flags.workMs),
      coldStartMs: Number(flags.coldStartMs),
    }),
  );
cli
  .command('relay', 'Relay TCP and cut directions on request')
  .option('--address <ip>', 'Listen address', {default: '127.0.0.1'})
  .option('--port <port>', 'Listen port', {default: 0})
  .option('--target <host:port>', 'Target address')
  .option('--control-port <port>', 'Port of the control API', {default: 0})
  .action(async flags => {
    const relay = await openRelay({
      address: flags.address,
      port: Number(flags.port),
      target: flags.target,
    });
    const control = buildRelayControl(relay);
    await control.listen({
      host: flags.address,
      port: Number(flags.controlPort),
    });
    const {port} = control.server.address() as {port: number};
    console.log(JSON.stringify({listening: relay.address, control: port}));
  });
cli.help();
cli.parse();
