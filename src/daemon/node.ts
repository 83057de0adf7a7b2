import Fastify, {FastifyInstance} from 'fastify';
import * as E from 'fp-ts/lib/Either.js';
import {buildAdminServer} from '../admin/index.js';
import {
  asId,
  Clock,
  ConflictError,
  DataCentreId,
  Logger,
  Millis,
  NodeId,
  RegionId,
  runEvery,
  ServiceId,
} from '../base/index.js';
import {ConfigFollower, Service} from '../config/index.js';
import {Entry, RemoteGuards} from '../entry/index.js';
import {buildDataPort, Guard} from '../guard/index.js';
import {JudgedServer, judgeService} from '../health/index.js';
import {createLogClient, LogClient} from '../logservice/index.js';
import {NodeRecord, PeerLinks, Roster} from '../membership/index.js';
import {NodeCallClient, NodeCallHandlers} from '../nodecalls/index.js';
import {KeyArbiter, KeyClient, KeySettings} from '../once/index.js';
import {Settings} from './settings.js';

const recordPeriodMs: Millis = 500;
const spreadMs: Millis = 500;
/** Time an arbiter of keys has beyond one append to the log. */
const arbiterSlackMs: Millis = 500;
/** Time for which a node that refused a connection gets no work from this entry. */
const unreachableMs: Millis = 2000;

/** One node: wires the modules together and owns this node's record. */
export class FleetNode {
  private readonly stopping = new AbortController();
  private readonly roster = new Roster();
  private readonly log: LogClient;
  private readonly keyLog: LogClient;
  private readonly follower: ConfigFollower;
  private readonly guard: Guard;
  private readonly remotes: RemoteGuards;
  private readonly calls: NodeCallHandlers;
  private readonly callClient: NodeCallClient;
  private readonly arbiter: KeyArbiter;
  private readonly keys: KeyClient;
  private readonly entry: Entry;
  private readonly links: PeerLinks;
  private readonly servers: readonly FastifyInstance[];
  private readonly unreachable = new Map<NodeId, Millis>();
  private record: NodeRecord;
  private leaving = false;

  constructor(
    private readonly settings: Settings,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    const {address} = settings.node;
    this.record = this.makeFirstRecord();
    this.roster.merge(this.record);
    this.log = createLogClient({
      url: settings.log.url,
      timeoutMs: settings.log.timeout,
      localAddress: address,
    });
    this.keyLog = createLogClient({
      url: settings.log.url,
      timeoutMs: settings.log.timeout,
      localAddress: address,
      // One long poll and one append for each partition if this node owns them all, and reads of outcomes.
      connections: 2 * settings.keys.partitions + 8,
    });
    this.follower = new ConfigFollower(this.log, clock, logger);
    this.guard = new Guard(
      {
        getConfiguration: () => this.follower.getConfiguration(),
        getBaseline: service => this.getBaseline(service),
        onReportChange: () => this.publishRecord(),
      },
      clock,
      logger,
      address,
    );
    this.calls = new NodeCallHandlers(settings.peers.cluster_key);
    this.callClient = new NodeCallClient(settings.peers.cluster_key, address);
    this.remotes = new RemoteGuards(settings.peers.cluster_key, clock, address);
    this.arbiter = this.buildArbiter();
    this.keys = this.buildKeyClient();
    this.entry = new Entry(
      {
        node: this.record.node,
        guard: this.guard,
        remotes: this.remotes,
        keys: this.keys,
        judge: service => this.judge(service),
        onReach: (node, reached) => this.setReached(node, reached),
        isLeaving: () => this.leaving,
      },
      this.follower.getConfiguration(),
      clock,
      Math.random,
      logger,
    );
    this.follower.onChange(config => {
      this.entry.setConfiguration(config);
      this.publishRecord();
    });
    this.links = new PeerLinks(
      {
        listen: `${address}:${settings.ports.peers}`,
        localAddress: address,
        seeds: settings.peers.seeds,
        clusterKey: settings.peers.cluster_key,
        spreadMs,
      },
      this.roster,
      clock,
      logger,
    );
    this.servers = [
      buildDataPort(this.guard, settings.peers.cluster_key, clock, this.calls),
      this.buildAnnouncePort(),
      buildAdminServer({
        token: settings.admin.operator_token,
        follower: this.follower,
        roster: this.roster,
        judge: service => this.judge(service),
        clock,
        logger,
      }),
      this.entry.app,
    ];
  }

  /** Opens all ports; the port for callers opens last. */
  async start(): Promise<void> {
    const {signal} = this.stopping;
    const {ports, node} = this.settings;
    void this.follower.run(signal);
    void this.links.run(signal);
    void this.arbiter.run(signal);
    void this.keys.run(signal);
    void runEvery(this.clock, recordPeriodMs, signal, () =>
      this.publishRecord(),
    );
    const order = [ports.data, ports.announce, ports.admin, ports.callers];
    for (const [index, server] of this.servers.entries()) {
      await server.listen({host: node.address, port: order[index]});
    }
    this.logger.info({node: this.record.node}, 'serving');
  }

  /** Graceful shutdown: announces that the node leaves, takes no new work, lets what is in flight end. */
  async stop(): Promise<void> {
    this.logger.info('leaving');
    this.leaving = true;
    this.publishRecord();
    this.links.spread();
    await this.clock.sleep(spreadMs);
    const closing = Promise.all(this.servers.map(server => server.close()));
    await Promise.race([
      closing,
      this.clock.sleep(this.settings.shutdown.grace),
    ]);
    await Promise.race([
      this.keys.waitUntilTried(),
      this.clock.sleep(this.settings.log.timeout),
    ]);
    this.stopping.abort();
    await this.callClient.close();
    await this.log.close();
    await this.keyLog.close();
    this.logger.info('left');
  }

  private listArbiterNodes() {
    return this.roster.list().filter(({state}) => state === 'serving');
  }

  private getKeySettings(): KeySettings {
    const {window, partitions} = this.settings.keys;
    return {windowMs: window, partitions};
  }

  private buildArbiter(): KeyArbiter {
    const arbiter = new KeyArbiter(
      {
        ...this.getKeySettings(),
        node: this.record.node,
        listNodes: () => this.listArbiterNodes(),
      },
      this.keyLog,
      this.clock,
      this.logger,
    );
    arbiter.registerCalls(this.calls);
    return arbiter;
  }

  private buildKeyClient(): KeyClient {
    return new KeyClient(
      {
        ...this.getKeySettings(),
        node: this.record.node,
        arbiter: this.arbiter,
        calls: this.callClient,
        callMs: this.settings.log.timeout + arbiterSlackMs,
        listNodes: () => this.listArbiterNodes(),
      },
      this.clock,
      this.logger,
    );
  }

  private judge(service: Service): readonly JudgedServer[] {
    const now = this.clock.getTime();
    const {retired} = this.follower.getConfiguration();
    return judgeService(service, this.roster.listServers(service.id), {
      isRetired: server => retired[server] !== undefined,
      isUnreachable: node => (this.unreachable.get(node) ?? 0) > now,
    });
  }

  private setReached(node: NodeId, reached: boolean): void {
    if (reached) this.unreachable.delete(node);
    else this.unreachable.set(node, this.clock.getTime() + unreachableMs);
  }

  private getBaseline(service: ServiceId): Millis {
    const times = this.roster
      .listServers(service)
      .map(known => known.report.typicalMs)
      .filter(ms => ms > 0)
      .sort((a, b) => a - b);
    return times[Math.floor(times.length / 2)] ?? 0;
  }

  private buildAnnouncePort(): FastifyInstance {
    const app = Fastify({forceCloseConnections: true});
    app.post('/announce', async (request, reply) => {
      const taken = this.guard.announce(request.body);
      if (E.isRight(taken)) return {server: taken.right.server};
      const status = taken.left instanceof ConflictError ? 409 : 400;
      return reply.code(status).send({error: {message: taken.left.message}});
    });
    return app;
  }

  private makeFirstRecord(): NodeRecord {
    const {node, ports, advertise} = this.settings;
    return {
      node: asId<NodeId>(node.id),
      incarnation: Math.floor(this.clock.getTime()),
      version: 0,
      dataCentre: asId<DataCentreId>(node.data_centre),
      region: asId<RegionId>(node.region),
      peerAddress: advertise.peers || `${node.address}:${ports.peers}`,
      dataAddress: advertise.data || `${node.address}:${ports.data}`,
      adminAddress: `${node.address}:${ports.admin}`,
      state: 'serving',
      configVersion: -1,
      servers: [],
      suspicions: [],
    };
  }

  /** Puts the present state into this node's record if it changed. */
  private publishRecord(): void {
    const next: NodeRecord = {
      ...this.record,
      state: this.leaving ? 'leaving' : 'serving',
      configVersion: this.follower.getConfiguration().version,
      servers: this.guard.listReports(),
    };
    if (JSON.stringify(next) === JSON.stringify(this.record)) return;
    this.record = {...next, version: this.record.version + 1};
    this.roster.merge(this.record);
  }
}
