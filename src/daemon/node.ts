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
import {
  Contacts,
  findSuspected,
  NodeRecord,
  OwnRecord,
  PeerLinks,
  Roster,
} from '../membership/index.js';
import {NodeCallClient, NodeCallHandlers} from '../nodecalls/index.js';
import {Settings} from './settings.js';

const recordPeriodMs: Millis = 500;
/** Time for the news that this node leaves to reach the entries; see docs/membership.md for what it takes. */
const leavingMs: Millis = 1000;
/** Time for which a node that refused a connection gets no work from this entry. */
const unreachableMs: Millis = 2000;

/** One node: wires the modules together and owns this node's record. */
export class FleetNode {
  private readonly stopping = new AbortController();
  private readonly roster: Roster;
  private readonly log: LogClient;
  private readonly follower: ConfigFollower;
  private readonly guard: Guard;
  private readonly remotes: RemoteGuards;
  private readonly calls: NodeCallHandlers;
  private readonly callClient: NodeCallClient;
  private readonly entry: Entry;
  private readonly links: PeerLinks;
  private readonly servers: readonly FastifyInstance[];
  private readonly unreachable = new Map<NodeId, Millis>();
  private readonly own: OwnRecord;
  private leaving = false;

  constructor(
    private readonly settings: Settings,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    const {address} = settings.node;
    this.roster = new Roster(clock);
    this.own = new OwnRecord(
      this.makeFirstRecord(),
      this.roster,
      clock,
      Math.random,
      logger,
    );
    const {node, peerAddress} = this.own.get();
    this.log = createLogClient({
      url: settings.log.url,
      timeoutMs: settings.log.timeout,
      localAddress: address,
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
    this.entry = new Entry(
      {
        node,
        guard: this.guard,
        remotes: this.remotes,
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
        getConfigVersion: () => this.follower.getConfiguration().version,
        onPeerVersion: (record, version) =>
          logger.debug({peer: record.node, version}, 'peer is ahead'),
        onSuspicionsChange: () => this.publishRecord(),
      },
      this.own,
      this.roster,
      new Contacts(this.log, {node, peerAddress}, clock, Math.random, logger),
      clock,
      Math.random,
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
    void runEvery(this.clock, recordPeriodMs, signal, () =>
      this.publishRecord(),
    );
    const order = [ports.data, ports.announce, ports.admin, ports.callers];
    for (const [index, server] of this.servers.entries()) {
      await server.listen({host: node.address, port: order[index]});
    }
    this.logger.info({node: this.own.get().node}, 'serving');
  }

  /** Graceful shutdown: announces that the node leaves, takes no new work, lets what is in flight end. */
  async stop(): Promise<void> {
    this.logger.info('leaving');
    this.leaving = true;
    this.publishRecord();
    await this.clock.sleep(leavingMs);
    const closing = Promise.all(this.servers.map(server => server.close()));
    await Promise.race([
      closing,
      this.clock.sleep(this.settings.shutdown.grace),
    ]);
    this.stopping.abort();
    await this.callClient.close();
    await this.log.close();
    this.logger.info('left');
  }

  private judge(service: Service): readonly JudgedServer[] {
    const now = this.clock.getTime();
    const {retired} = this.follower.getConfiguration();
    return judgeService(service, this.roster.listServers(service.id), {
      isRetired: server => retired[server] !== undefined,
      isUnreachable: node =>
        (this.unreachable.get(node) ?? 0) > now || this.isSuspected(node),
    });
  }

  /** Whether witnesses in two data centres cannot reach a node; this node always reaches itself. */
  private isSuspected(node: NodeId): boolean {
    return (
      node !== this.own.get().node &&
      findSuspected(this.roster.list()).has(node)
    );
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

  /** Puts the present state into this node's record, which decides whether it is worth a new version. */
  private publishRecord(): void {
    this.own.update({
      state: this.leaving ? 'leaving' : 'serving',
      configVersion: this.follower.getConfiguration().version,
      servers: this.guard.listReports(),
      suspicions: this.links.listSuspicions(),
    });
  }
}
