// Guards against a configuration that is late because open connections have gone silent, those to the store and those to
// other nodes together (CONFIG of the review, case 5), in fleets of any size.

import * as E from 'fp-ts/lib/Either.js';
import {Registry} from 'prom-client';
import test from 'ava';
import {
  LogUnavailableError,
  ManualClock,
  Millis,
  openSilentLogger,
} from '../../src/base/index.js';
import {KeyedRecord, KeyedStore} from '../../src/sidecar/keyed_store.js';
import {buildMetrics} from '../../src/sidecar/metrics.js';
import {RoutingFollower} from '../../src/sidecar/routing_follower.js';

/** Time from the confirmation of a change until it must be in force, at the first users. */
const applyMs = 2000;
/** Time beyond the wait of a poll after which the client of the store takes its connection for dead. */
const pollMarginMs = 400;
/** An answer of the store, and a new connection to it. */
const answerMs = 8;
/** The first users' store takes 2,000 reads a second, and their largest sweep has 1,000 nodes. */
const maxCallsPerSecond = 2;

/** A store with one version number as its only record, and connections that can go silent. */
class SilentStore {
  calls = 0;
  private version = 1;
  private silences = 0;
  private waiting: (() => void)[] = [];

  constructor(private readonly clock: ManualClock) {}

  write(version: number): void {
    this.version = version;
    for (const wake of this.waiting.splice(0)) wake();
  }

  cutConnections(): void {
    this.silences += 1;
    this.waiting = [];
  }

  /** The store as one node reaches it over its connection, which it replaces once it is found silent. */
  openClient(): KeyedStore {
    let connectedAt = this.silences;
    const listRecords = (): readonly KeyedRecord[] => [
      {key: 'config', value: Buffer.from(String(this.version))},
    ];
    return {
      listNewest: async () => {
        this.calls += 1;
        connectedAt = this.silences;
        await this.clock.sleep(answerMs);
        return {records: listRecords(), end: this.version, epoch: 0};
      },
      follow: async (_topic, from, waitMs) => {
        this.calls += 1;
        const isLate = connectedAt !== this.silences;
        const start = this.silences;
        if (isLate || this.version === from) {
          await this.waitForChange(isLate, waitMs);
        }
        if (isLate || start !== this.silences) {
          await this.clock.sleep(pollMarginMs);
          throw new LogUnavailableError('no answer');
        }
        await this.clock.sleep(answerMs);
        return {
          records: this.version === from ? [] : listRecords(),
          end: this.version,
          epoch: 0,
          malformed: 0,
        };
      },
      put: async () => 0,
    };
  }

  private waitForChange(isDeaf: boolean, waitMs: Millis): Promise<void> {
    return new Promise(resolve => {
      const timer = this.clock.startTimer(waitMs, resolve);
      if (isDeaf) return;
      this.waiting.push(() => {
        timer.cancel();
        resolve();
      });
    });
  }
}

function decode(document: Buffer) {
  return E.right({
    version: Number(document.toString()),
    routes: [],
    services: new Set<never>(),
    limits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
  });
}

for (const nodes of [21, 450]) {
  test(`${nodes} nodes without links have a change in time, whenever their connections go silent`, async t => {
    const clock = new ManualClock();
    const store = new SilentStore(clock);
    const stop = new AbortController();
    const followers = Array.from({length: nodes}, (_, index) => {
      const follower = new RoutingFollower(
        store.openClient(),
        {topic: 'op', key: 'config', decode},
        () => undefined,
        () => undefined,
        buildMetrics(new Registry()),
        clock,
        () => ((index * 7919) % nodes) / nodes,
        openSilentLogger(),
      );
      void follower.run(stop.signal);
      return follower;
    });
    await clock.advance(3000);
    let version = 1;
    for (const settleMs of [0, 300, 700, 1100]) {
      await clock.advance(3000 + settleMs);
      version += 1;
      store.cutConnections();
      store.write(version);
      await clock.advance(applyMs);
      const late = followers.filter(node => node.getVersion() !== version);
      t.is(late.length, 0, `silence after ${settleMs} ms`);
    }
    const before = store.calls;
    await clock.advance(4000);
    const perNode = (store.calls - before) / 4 / nodes;
    t.true(perNode <= maxCallsPerSecond, `${perNode} calls a second`);
    stop.abort();
  });
}
