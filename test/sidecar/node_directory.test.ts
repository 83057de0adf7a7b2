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

/** A store that comes back without any record after its first write. */
class ForgetfulStore implements KeyedStore {
  epoch = 0;
  private records: KeyedRecord[] = [];

  async listNewest() {
    return {records: this.records, end: 0, epoch: this.epoch};
  }

  async follow() {
    return undefined;
  }

  async put(_topic: string, key: string, value: Buffer) {
    const {epoch} = this;
    this.records = epoch === 0 ? [] : [{key, value}];
    this.epoch = 1;
    return epoch;
  }
}

test('a node whose record is lost between the write and the listing of a join writes it again', async t => {
  const directory = new NodeDirectory(
    new ForgetfulStore(),
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
