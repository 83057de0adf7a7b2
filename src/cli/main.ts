import {randomUUID} from 'node:crypto';
import {readFileSync} from 'node:fs';
import {cac} from 'cac';
import {AdminClient} from './client.js';
import {readNodeState, readRequestTrace, renderLogExtract} from './explain.js';
import {CliError, exitCodes, makeUsageError} from './exit.js';
import {CommonOptions, intents, makeChange, parseOptions} from './intents.js';
import {LogExtract} from './log_reader.js';
import {
  renderConfig,
  renderNodes,
  renderPlan,
  renderPlans,
  renderServices,
  renderStatus,
  renderTable,
} from './render.js';

const args = process.argv.slice(2);
const cli = cac('fescuewheel');
cli.option(
  '--node <address>',
  'Administration address IP:port; repeat the option to try several nodes in turn; default: FESCUEWHEEL_NODES, separated by commas',
);
cli.option('--token <token>', 'Operator token; default: FESCUEWHEEL_TOKEN');
cli.option('--json', 'Print JSON');

function openClient(values: CommonOptions): AdminClient {
  const {FESCUEWHEEL_NODES = '', FESCUEWHEEL_TOKEN = ''} = process.env;
  const nodes = FESCUEWHEEL_NODES.split(',').map(node => node.trim());
  return new AdminClient({
    nodes: values.node ?? nodes.filter(node => node !== ''),
    token: values.token ?? FESCUEWHEEL_TOKEN,
  });
}

function printResponse<A>(
  values: CommonOptions,
  response: unknown,
  render: (response: A) => string,
): void {
  console.log(values.json ? JSON.stringify(response) : render(response as A));
}

function readChanges(file: string | undefined): unknown {
  if (file === undefined) {
    throw makeUsageError(
      'expected one file, such as: fescuewheel plan file changes.json',
    );
  }
  try {
    const value: unknown = JSON.parse(
      readFileSync(file === '-' ? 0 : file, 'utf8'),
    );
    return Array.isArray(value)
      ? value
      : (value as {changes?: unknown}).changes;
  } catch (error) {
    throw makeUsageError(
      `${file}: ${(error as Error).message}; expected a readable JSON file with a list of changes`,
    );
  }
}

async function runPlan(intent: string): Promise<void> {
  const {changes, values} =
    intent === 'file' ? makeFilePlan() : makeIntentPlan(intent);
  // All attempts send the same id: the plan is recorded once, even if a node misses the reply of the log or another
  // node is tried.
  const body = {planId: randomUUID(), changes};
  const response = await openClient(values).call('POST', '/v1/plans', body);
  printResponse(values, response, renderPlan);
}

function makeFilePlan() {
  const {values, positionals} = parseOptions(args, {});
  return {changes: readChanges(positionals[1]), values};
}

function makeIntentPlan(intent: string) {
  const {change, values} = makeChange(intent, args);
  return {changes: [change], values};
}

async function runConfirm(plan: string): Promise<void> {
  const {values} = parseOptions(args, {'confirmation-id': false});
  const given = values['confirmation-id'];
  const confirmationId = given === undefined ? randomUUID() : String(given);
  const client = openClient(values);
  console.error(
    `confirmation ${confirmationId}; if there is no response, retry with --confirmation-id ${confirmationId}`,
  );
  const path = `/v1/plans/${encodeURIComponent(plan)}/confirm`;
  const response = await client.call('POST', path, {confirmationId});
  printResponse(
    values,
    {...(response as object), confirmationId},
    (outcome: {plan: string; version: number}) =>
      `confirmed: plan ${outcome.plan} is in force as version ${outcome.version}`,
  );
}

async function runRead<A>(
  path: string,
  id: string | undefined,
  render: (response: A) => string,
  renderOne: (response: never) => string = response =>
    JSON.stringify(response, null, 2),
): Promise<void> {
  const {values} = parseOptions(args, {});
  const full = id === undefined ? path : `${path}/${encodeURIComponent(id)}`;
  const response = await openClient(values).call('GET', full);
  if (id === undefined) printResponse(values, response, render);
  else
    printResponse(values, response, renderOne as (response: unknown) => string);
}

async function runAccounts(id: string | undefined): Promise<void> {
  const {values} = parseOptions(args, {
    after: false,
    partner: false,
    limit: false,
  });
  const query = new URLSearchParams();
  for (const name of ['after', 'partner', 'limit']) {
    if (values[name] !== undefined) query.set(name, String(values[name]));
  }
  const path = id === undefined ? `?${query}` : `/${encodeURIComponent(id)}`;
  const response = await openClient(values).call('GET', `/v1/accounts${path}`);
  printResponse(
    values,
    id === undefined ? response : {accounts: [response], next: null},
    (page: {accounts: Record<string, string>[]; next: string | null}) =>
      renderTable(page.accounts, 'no accounts') +
      (page.next === null ? '' : `\nmore with --after ${page.next}`),
  );
}

async function printExtract(
  files: readonly string[],
  read: () => Promise<LogExtract>,
): Promise<void> {
  if (files.length === 0)
    throw makeUsageError('expected at least one log file');
  console.log(renderLogExtract(await read()));
}

const plan = cli
  .command(
    'plan <intent> [...args]',
    'Plan one change, or the changes of a JSON file; nothing changes until the plan is confirmed',
  )
  .allowUnknownOptions()
  .example('  fescuewheel plan file changes.json')
  .action(runPlan);
for (const intent of Object.values(intents)) {
  plan.example(`  fescuewheel plan ${intent.example}`);
}
cli
  .command(
    'confirm <plan>',
    'Confirm a plan and wait until it is in force at the called node',
  )
  .option(
    '--confirmation-id <id>',
    'Id of an earlier attempt, to get its outcome',
  )
  .example('  fescuewheel confirm 2f1c7a52-6f0e-4a39-9c55-0a4d7d3f6b11')
  .allowUnknownOptions()
  .action(runConfirm);
cli
  .command(
    'plans [plan]',
    'Show pending plans and recent outcomes, or one plan',
  )
  .example('  fescuewheel plans --json')
  .allowUnknownOptions()
  .action((id?: string) => runRead('/v1/plans', id, renderPlans, renderPlan));
cli
  .command(
    'status',
    'Show the version in force, nodes, services, and excluded backend servers with the reason',
  )
  .example('  fescuewheel status --node 10.0.0.1:7403 --node 10.0.1.1:7403')
  .allowUnknownOptions()
  .action(() => runRead('/v1/status', undefined, renderStatus));
cli
  .command('config', 'Show the configuration in force')
  .example('  fescuewheel config --json')
  .allowUnknownOptions()
  .action(() => runRead('/v1/config', undefined, renderConfig));
cli
  .command('nodes', 'Show the nodes and the version in force at each of them')
  .example('  fescuewheel nodes')
  .allowUnknownOptions()
  .action(() => runRead('/v1/nodes', undefined, renderNodes));
cli
  .command('services [service]', 'Show services, or all details of one service')
  .example('  fescuewheel services lookup-desk')
  .allowUnknownOptions()
  .action((id?: string) => runRead('/v1/services', id, renderServices));
cli
  .command('accounts [account]', 'Show accounts and their limits')
  .option('--after <account>', 'Start after this account')
  .option('--partner <partner>', 'Only accounts of this partner')
  .option('--limit <n>', 'Number of accounts, up to 1000')
  .example('  fescuewheel accounts --partner holbrook')
  .allowUnknownOptions()
  .action(runAccounts);
cli
  .command(
    'explain <request> [...files]',
    'Show the decisions of the nodes on a request, from their logs',
  )
  .example('  fescuewheel explain 9c41d07be2a35f68 n1.log n2.log')
  .action((request: string, files: string[]) =>
    printExtract(files, () => readRequestTrace(request, files)),
  );
cli
  .command(
    'beliefs <node> [...files]',
    'Show the state of a node at a point in time, from its log',
  )
  .option('--at <time>', 'ISO time; default: the end of the log')
  .example('  fescuewheel beliefs n1 --at 2026-12-04T07:00:00Z n1.log')
  .action((node: string, files: string[], {at}: {at?: string}) =>
    printExtract(files, () => readNodeState(node, at, files)),
  );
cli.help();

async function main(): Promise<void> {
  cli.parse(process.argv, {run: false});
  if (cli.matchedCommand) {
    await cli.runMatchedCommand();
  } else if (!cli.options.help) {
    const problem =
      args[0] === undefined ? 'no command given' : `unknown command ${args[0]}`;
    throw makeUsageError(`${problem}; see fescuewheel --help`);
  }
}

try {
  await main();
} catch (error) {
  const {name, message} = error as Error;
  console.error(`fescuewheel: ${message}`);
  const isUsageError = name === 'CACError';
  process.exitCode =
    error instanceof CliError
      ? error.code
      : isUsageError
        ? exitCodes.usage
        : exitCodes.failed;
}
