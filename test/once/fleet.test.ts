import test from 'ava';
import {request} from 'undici';
import {hashSecret, systemClock} from '../../src/base/index.js';
import {Change} from '../../src/config/index.js';
import {LocalFleet, NodeSpec} from '../../src/testing/index.js';

const token = 'crew-token-0001';
const nodeIds = ['n0', 'n1', 'n2'];

const plans: readonly NodeSpec[] = nodeIds.map(id => ({
  id,
  dataCentre: `dc-${id}`,
  region: 'midlands',
  backends: [
    {
      id: `bench-log-${id}`,
      service: 'bench-log',
      pool: 'bench-log',
      slots: 8,
      workMs: 3,
    },
  ],
}));

const changes: readonly Change[] = [
  {kind: 'add-service', service: 'bench-log', floor: 1},
  {kind: 'add-pool', pool: 'bench-log', service: 'bench-log', expected: 3},
  {kind: 'set-partner', partner: 'crews', weight: 1},
  {
    kind: 'add-account',
    account: 'crew',
    partner: 'crews',
    tokenHash: hashSecret(token),
  },
  ...['log', 'strict'].map(route => ({
    kind: 'add-route' as const,
    route,
    host: '*',
    pathPrefix: `/${route}`,
    service: 'bench-log',
    requireKey: route === 'strict',
  })),
];

interface Answer {
  readonly status: number;
  readonly headers: Record<string, unknown>;
  readonly text: string;
}

interface Post {
  readonly path?: string;
  readonly timeoutMs?: number;
  /** Time after which the caller goes away. */
  readonly patienceMs?: number;
}

class Bench {
  constructor(readonly fleet: LocalFleet) {}

  static async start(): Promise<Bench> {
    const fleet = await LocalFleet.start(plans);
    const version = await fleet.applyChanges('n0', changes);
    await fleet.waitUntil('all nodes know all', 8000, async () => {
      const all = await Promise.all(
        nodeIds.map(id => fleet.callAdmin(id, 'GET', '/v1/status')),
      );
      return all.every(status => {
        const {services} = status as {services: {servers: unknown[]}[]};
        return services[0]?.servers.length === 3;
      });
    });
    return version >= 0 ? new Bench(fleet) : Promise.reject();
  }

  async post(id: string, key?: string, options: Post = {}): Promise<Answer> {
    const {path = '/log', timeoutMs = 5000, patienceMs = 9000} = options;
    const url = `http://${this.fleet.getNode(id).callers}${path}`;
    const answer = await request(url, {
      method: 'POST',
      headers: {
        authorization: `Bearer ${token}`,
        'fescuewheel-timeout-ms': String(timeoutMs),
        ...(key && {'idempotency-key': key}),
      },
      body: 'detector 7 passed',
      signal: AbortSignal.timeout(patienceMs),
    });
    const text = await answer.body.text();
    return {status: answer.statusCode, headers: answer.headers, text};
  }

  /** How often each key was run, over all backend servers. */
  async countRuns(): Promise<Map<string, number>> {
    const counts = new Map<string, number>();
    for (const {url} of this.fleet.backends.values()) {
      const answer = await request(`${url}/runs`);
      for (const run of (await answer.body.json()) as {key: string}[]) {
        counts.set(run.key, (counts.get(run.key) ?? 0) + 1);
      }
    }
    return counts;
  }

  async setAllFaults(faults: Record<string, unknown>): Promise<void> {
    for (const id of this.fleet.backends.keys()) {
      await this.fleet.setBackendFaults(id, faults);
    }
  }
}

// Guards against keys in the memory of the node that took the request: it is killed while the request runs, and
// the retries go through another node and through its replacement. Also guards against a request that is cancelled when its caller leaves, so that the
// retry is told nothing, and against replaying a body that was not kept whole.
test('a retry after the entry was killed does not run the request again', async t => {
  const bench = await Bench.start();
  const {fleet} = bench;
  try {
    const first = await bench.post('n0', 'k');
    t.is(first.status, 201);
    await fleet.waitUntil('the answer is replayed', 3000, async () => {
      const again = await bench.post('n1', 'k');
      const replayed = again.headers['fescuewheel-replayed'] === 'true';
      return replayed && again.status === 201 && again.text === first.text;
    });
    t.is((await bench.post('n1', 'k', {path: '/log/2'})).status, 422);
    const long = {path: '/log?size=5000'};
    t.is((await bench.post('n1', 'long', long)).text.length, 5000);
    await fleet.waitUntil('the long answer is recorded', 3000, async () => {
      const {headers, text} = await bench.post('n2', 'long', long);
      return headers['fescuewheel-body-omitted'] === 'true' && text === '';
    });
    t.is((await bench.post('n1', 'x'.repeat(256))).status, 400);
    t.is((await bench.post('n1', undefined, {path: '/strict'})).status, 400);

    await bench.setAllFaults({mode: 'slow', slowMs: 1500});
    const keys = ['a', 'b', 'c', 'd'];
    await bench.post('n1', 'gone', {patienceMs: 300}).catch(() => undefined);
    await fleet.waitUntil('a caller that left finds it', 8000, async () => {
      const retry = await bench.post('n2', 'gone');
      return retry.headers['fescuewheel-replayed'] === 'true';
    });
    const lost = keys.map(key => bench.post('n0', key).catch(() => undefined));
    await systemClock.sleep(700);
    fleet.getNode('n0').process.kill('SIGKILL');
    await Promise.all(lost);
    await bench.setAllFaults({mode: 'healthy'});
    for (const key of keys) {
      const retry = await bench.post('n1', key);
      t.is(retry.status, 409, retry.text);
      t.is(retry.headers['fescuewheel-ran'], 'unknown');
    }
    await fleet.startNode('n0');
    await fleet.waitUntil('n0 answers', 5000, async () => {
      const retry = await bench.post('n0', 'a');
      return retry.status === 409;
    });
    t.true([...(await bench.countRuns()).values()].every(count => count === 1));
  } finally {
    await fleet.stop();
  }
});

// Guards against running keyed requests that the log does not know, against losing the claim with the reply of its
// append, and against a paused entry that sends after its deadline.
test('a key survives log faults and a paused entry', async t => {
  const bench = await Bench.start();
  const {fleet} = bench;
  try {
    await bench.post('n0', 'first');
    await fleet.setLogFaults({down: true});
    const refused = await bench.post('n0', 'k');
    t.is(refused.status, 503);
    t.is(refused.headers['fescuewheel-ran'], 'no');
    t.regex(refused.text, /key-unavailable/);
    t.is((await bench.post('n0')).status, 201);
    await fleet.setLogFaults({down: false});
    await fleet.waitUntil('k runs', 15_000, async () => {
      return (await bench.post('n1', 'k')).status === 201;
    });

    await fleet.setLogFaults({loseReplies: 1});
    t.is((await bench.post('n2', 'lost')).status, 201);

    await fleet.setLogFaults({delayMs: 400});
    const paused = bench.post('n0', 'paused', {timeoutMs: 1500});
    await systemClock.sleep(300);
    fleet.getNode('n0').process.kill('SIGSTOP');
    await systemClock.sleep(2500);
    fleet.getNode('n0').process.kill('SIGCONT');
    const late = await paused;
    t.is(late.status, 504, late.text);
    t.is(late.headers['fescuewheel-ran'], 'no');
    await fleet.setLogFaults({delayMs: 0});
    await fleet.waitUntil('the key is free again', 15_000, async () => {
      return (await bench.post('n1', 'paused')).status === 201;
    });
    const runs = await bench.countRuns();
    for (const key of ['k', 'lost', 'paused']) t.is(runs.get(key), 1, key);
  } finally {
    await fleet.stop();
  }
});
