import test from 'ava';
import {Registry} from 'prom-client';
import {
  asId,
  NodeId,
  openSilentLogger,
  systemClock,
} from '../../src/base/index.js';
import {KeyedRecord, KeyedStore} from '../../src/sidecar/keyed_store.js';
import {buildMetrics} from '../../src/sidecar/metrics.js';
import {NodeDirectory} from '../../src/sidecar/node_directory.js';

/** Makes a store that comes back without any record after its first write. */
function makeForgetfulStore(): KeyedStore {
  let epoch = 0;
  let records: readonly KeyedRecord[] = [];
  return {
    listNewest: async () => ({records, end: 0, epoch}),
    follow: async () => undefined,
    put: async (_topic, key, value) => {
      const written = epoch;
      records = written === 0 ? [] : [{key, value}];
      epoch = 1;
      return written;
    },
  };
}

test('a node whose record is lost between the write and the listing of a join writes it again', async t => {
  const directory = new NodeDirectory(
    makeForgetfulStore(),
    'nodes',
    buildMetrics(new Registry()),
    systemClock,
    openSilentLogger(),
  );
  const own = {node: asId<NodeId>('n1'), address: '127.0.0.1:1'};
  const {signal} = new AbortController();
  const entries = await directory.join(own, signal);
  t.deepEqual(
    entries.map(({node}) => node),
    [own.node],
  );
});

test('an odd departure in a record is left out, and the others hold', async t => {
  const good = {server: 's1', startedAtMs: 1000};
  const departures = [
    {server: 's2', startedAtMs: 1e300},
    good,
    {server: 5},
    'odd',
    {server: 's3', startedAtMs: 0.5},
  ];
  const value = Buffer.from(
    JSON.stringify({address: '127.0.0.1:1', departures}),
  );
  const directory = new NodeDirectory(
    {
      listNewest: async () => ({
        records: [{key: 'n1', value}],
        end: 1,
        epoch: 0,
      }),
      follow: async () => undefined,
      put: async () => 0,
    },
    'nodes',
    buildMetrics(new Registry()),
    systemClock,
    openSilentLogger(),
  );
  const own = {node: asId<NodeId>('n1'), address: '127.0.0.1:1'};
  await directory.join(own, new AbortController().signal);
  t.deepEqual(directory.getDepartures().all, [good]);
});
