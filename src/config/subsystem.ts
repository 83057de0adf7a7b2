import {Registry} from 'prom-client';
import {Clock, Logger, Millis, Random} from '../base/index.js';
import {LogClient} from '../logservice/index.js';
import {NodeCallClient, NodeCallServer} from '../nodecalls/index.js';
import {ConfigFollower} from './follower.js';
import {registerConfigMetrics} from './metrics.js';
import {PlanSubmitter} from './plan_submitter.js';
import {
  ConfigPeer,
  PeerStateClient,
  registerStateTransfer,
} from './state_transfer.js';
import {SnapshotWriter} from './snapshot_writer.js';
import {SnapshotStore} from './snapshot_store.js';

/** Dependencies of the configuration subsystem. */
export interface ConfigSubsystemOptions {
  readonly log: LogClient;
  /** The log stream of plans and confirmations. */
  readonly stream: string;
  readonly clusterKey: string;
  readonly snapshotIntervalMs: Millis;
  readonly callServer: NodeCallServer;
  readonly callClient: NodeCallClient;
  /** Lists the other nodes known to this node. */
  readonly listPeers: () => readonly ConfigPeer[];
  /** Rank of this node among all nodes for a key. */
  readonly getRank: (key: string) => number;
  readonly registry: Registry;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
}

/** The configuration subsystem of one node. */
export interface ConfigSubsystem {
  readonly follower: ConfigFollower;
  readonly planSubmitter: PlanSubmitter;
  /** Waits until the configuration is loaded, then keeps it up to date in the background until the signal aborts. */
  start(signal: AbortSignal): Promise<void>;
}

/** Builds the follower, the snapshot writer, the state transfer between nodes, the plan submitter and the metrics. */
export function buildConfigSubsystem(
  options: ConfigSubsystemOptions,
): ConfigSubsystem {
  const {log, stream, clusterKey, clock, random, logger} = options;
  const store = new SnapshotStore(log, clusterKey, logger, stream);
  const peers = new PeerStateClient(
    options.callClient,
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
    intervalMs: options.snapshotIntervalMs,
    clock,
    logger,
  });
  registerStateTransfer(options.callServer, clusterKey, follower);
  registerConfigMetrics(options.registry, follower);
  return {
    follower,
    planSubmitter: new PlanSubmitter(log, follower, clusterKey, stream, clock),
    async start(signal) {
      await follower.load(signal);
      void follower.run(signal);
      void writer.run(signal);
    },
  };
}
