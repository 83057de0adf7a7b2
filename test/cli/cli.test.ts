import {createServer, IncomingMessage} from 'node:http';
import test from 'ava';
import {startProcess} from '../../src/testing/index.js';

interface Call {
  readonly path: string;
  readonly body: Record<string, unknown>;
}

/** Starts an administration API that returns a fixed response and records the calls. */
async function openNode(status: number, reply: object) {
  const calls: Call[] = [];
  const server = createServer((request, response) => {
    void readJson(request).then(body => {
      calls.push({path: `${request.method} ${request.url}`, body});
      response.writeHead(status, {'content-type': 'application/json'});
      response.end(JSON.stringify(reply));
    });
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as {port: number};
  const close = () => server.close();
  return {address: `127.0.0.1:${port}`, calls, close};
}

async function readJson(request: IncomingMessage) {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  const text = Buffer.concat(chunks).toString();
  return (text === '' ? {} : JSON.parse(text)) as Record<string, unknown>;
}

async function runCli(args: readonly string[]) {
  const child = startProcess('cli/main.js', args, {
    FESCUEWHEEL_TOKEN: 'test-operator-token',
    FESCUEWHEEL_NODES: '',
  });
  const code = await child.ended;
  await new Promise(resolve => setImmediate(resolve));
  return {code, out: child.lines.join('\n'), err: child.errors.join('\n')};
}

// Guards against an exit code that is the same for all kinds of errors, from which a script cannot distinguish a
// conflict, an outage and a usage error.
test('exit codes distinguish usage, conflict, unavailable and other failures', async t => {
  const expected: [number, number][] = [
    [400, 2],
    [401, 1],
    [404, 1],
    [409, 3],
    [503, 4],
  ];
  for (const [status, code] of expected) {
    const node = await openNode(status, {error: {message: 'do this'}});
    const result = await runCli([
      'confirm',
      'plan-0001',
      '--node',
      node.address,
    ]);
    t.is(result.code, code);
    t.regex(result.err, /do this/);
    node.close();
  }
  const invalid = [
    [],
    ['launch'],
    ['plan', 'launch', 'x'],
    ['plan', 'set-floor', 'desk', '--node', '127.0.0.1:9'],
    ['plan', 'set-floor', 'desk', '--floor', 'two', '--node', '127.0.0.1:9'],
    ['status', '--nodde', 'x'],
    ['status'],
  ];
  for (const args of invalid)
    t.is((await runCli(args)).code, 2, args.join(' '));
});

// Guards against one failed node that makes all commands fail, and against a second node that treats the retried
// confirmation as a new one.
test('nodes are tried in turn with one confirmation id', async t => {
  const unavailable = await openNode(503, {error: {message: 'log down'}});
  const healthy = await openNode(200, {plan: 'plan-0001', version: 7});
  const nodes = ['127.0.0.1:9', unavailable.address, healthy.address];
  const result = await runCli([
    'confirm',
    'plan-0001',
    ...nodes.flatMap(node => ['--node', node]),
  ]);
  t.is(result.code, 0);
  t.regex(result.out, /in force as version 7/);
  const {confirmationId} = healthy.calls[0].body;
  t.is(unavailable.calls[0].body.confirmationId, confirmationId);
  t.regex(result.err, new RegExp(`--confirmation-id ${confirmationId}`));
  unavailable.close();
  healthy.close();
});

// Guards against ids and hashes that are parsed as numbers (1e3 became 1000), and options put into the wrong field.
test('intents become the changes that the API takes', async t => {
  const plan = {
    plan: 'p',
    state: 'pending',
    baseVersion: 1,
    objects: [],
    steps: [{sentence: 'Nothing.'}],
  };
  const node = await openNode(200, plan);
  const at = ['--node', node.address];
  const addRoute =
    'add-route 1e3 --host * --path-prefix / --service 0x10 --require-key';
  const result = await runCli(['plan', ...addRoute.split(' '), ...at]);
  t.regex(result.out, /1\. Nothing\.\n.*confirm p/);
  const setRule = 'set-rule desk --preset prompt --slow-factor 4';
  await runCli(['plan', ...setRule.split(' '), ...at]);
  const json = await runCli([
    'plan',
    'retire',
    'd1',
    '--service',
    'desk',
    '--json',
    ...at,
  ]);
  t.deepEqual(JSON.parse(json.out), plan);
  t.deepEqual(
    node.calls.map(call => call.body.changes),
    [
      [
        {
          kind: 'add-route',
          route: '1e3',
          host: '*',
          pathPrefix: '/',
          service: '0x10',
          requireKey: true,
        },
      ],
      [
        {
          kind: 'set-rule',
          service: 'desk',
          preset: 'prompt',
          rule: {slowFactor: 4},
        },
      ],
      [{kind: 'retire-server', server: 'd1', service: 'desk'}],
    ],
  );
  node.close();
});
