import {readFileSync} from 'node:fs';
import {cac} from 'cac';
import {request} from 'undici';
import {describeError} from '../base/index.js';

interface Flags {
  readonly node?: string;
  readonly token?: string;
  readonly json?: boolean;
}

const cli = cac('fescuewheel');
cli.option('--node <url>', 'Administration address, http://IP:port');
cli.option('--token <token>', 'Operator token; default: FESCUEWHEEL_TOKEN');
cli.option('--json', 'Print JSON');

cli
  .command(
    'plan <file>',
    'Plan the changes of a JSON file; - reads them from standard input',
  )
  .action(async (file: string, flags: Flags) => {
    const changes = JSON.parse(readFileSync(file === '-' ? 0 : file, 'utf8'));
    await callNode(flags, 'POST', '/v1/plans', {changes});
  });
cli
  .command('confirm <plan>', 'Confirm a plan')
  .action((plan: string, flags: Flags) =>
    callNode(flags, 'POST', `/v1/plans/${plan}/confirm`, {}),
  );
cli
  .command('status', 'Show services, backend servers and the version in force')
  .action((flags: Flags) => callNode(flags, 'GET', '/v1/status'));
cli.help();

async function callNode(
  flags: Flags,
  method: 'GET' | 'POST',
  path: string,
  body?: unknown,
): Promise<void> {
  const token = flags.token ?? process.env.FESCUEWHEEL_TOKEN ?? '';
  const answer = await request(`${flags.node}${path}`, {
    method,
    headers: {
      authorization: `Bearer ${token}`,
      ...(body !== undefined && {'content-type': 'application/json'}),
    },
    body: body === undefined ? undefined : JSON.stringify(body),
  });
  const value = (await answer.body.json()) as {error?: {message: string}};
  if (value.error) {
    console.error(value.error.message);
    process.exitCode = 1;
    return;
  }
  console.log(JSON.stringify(value, null, flags.json ? 0 : 2));
}

try {
  cli.parse(process.argv, {run: false});
  await cli.runMatchedCommand();
} catch (error) {
  console.error(`fescuewheel: ${describeError(error)}`);
  process.exitCode = 1;
}
