import {Registry} from 'prom-client';
import {Clock, Logger, Millis, Random} from '../base/index.js';
import {LogClient} from '../logservice/index.js';
import {NodeCallClient, NodeCallServer} from '../nodecalls/index.js';
import {ConfigFollower} from './follower.js';
import {registerConfigMetrics} from './metrics.js';
import {ConfigOperator} from './operator.js';
import {ConfigPeer, ConfigPeers, registerHandover} from './peers.js';
import {SnapshotWriter} from './snapshot_writer.js';
import {SnapshotStore} from './snapshots.js';

/** What the role needs from the rest of the node. */
export interface ConfigRoleOptions {
  readonly log: LogClient;
  /** The log stream of plans and confirmations. */
  readonly stream: string;
  readonly clusterKey: string;
  readonly snapshotEveryMs: Millis;
  readonly handlers: NodeCallServer;
  readonly calls: NodeCallClient;
  /** Other nodes that this node knows. */
  readonly listPeers: () => readonly ConfigPeer[];
  /** Rank of this node among all nodes for a key. */
  readonly getRank: (key: string) => number;
  readonly registry: Registry;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
}

/** The parts of the configuration role of one node. */
export interface ConfigRole {
  readonly follower: ConfigFollower;
  readonly operator: ConfigOperator;
  /** Loads the configuration, however long that takes, and then keeps it in step until the signal aborts. */
  start(signal: AbortSignal): Promise<void>;
}

/** Wires the configuration role: follower, snapshots, handover between nodes, operators' side and metrics. */
export function buildConfigRole(options: ConfigRoleOptions): ConfigRole {
  const {log, stream, clusterKey, clock, random, logger} = options;
  const store = new SnapshotStore(log, clusterKey, logger, stream);
  const peers = new ConfigPeers(
    options.calls,
    clusterKey,
    options.listPeers,
    random,
    logger,
  );
  const follower = new ConfigFollower({
    log,
    stream,
    clusterKey,
    snapshots: store,
    peers,
    clock,
    random,
    logger,
  });
  const writer = new SnapshotWriter({
    store,
    follower,
    getRank: options.getRank,
    everyMs: options.snapshotEveryMs,
    clock,
    logger,
  });
  registerHandover(options.handlers, clusterKey, follower);
  registerConfigMetrics(options.registry, follower);
  return {
    follower,
    operator: new ConfigOperator(log, follower, clusterKey, stream, clock),
    async start(signal) {
      await follower.load(signal);
      void follower.run(signal);
      void writer.run(signal);
    },
  };
}
