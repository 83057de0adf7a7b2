import {finished} from 'node:stream';
import * as E from 'fp-ts/lib/Either.js';
import {Agent, Dispatcher} from 'undici';
import {
  BackendServerId,
  Clock,
  describeError,
  Logger,
  Millis,
  runEvery,
  ServiceId,
} from '../base/index.js';
import {
  Configuration,
  EjectionRule,
  presets,
  Service,
} from '../config/index.js';
import {Observation} from '../health/index.js';
import {ServerReport} from '../membership/index.js';
import {Announcement, AnnouncementTable} from './announcements.js';
import {
  exchangeAbortError,
  FailureReason,
  GuardResult,
  GuardCall,
  nodeHeaders,
  pickForwardHeaders,
} from './call.js';
import {ExchangeObserver} from './exchange_observer.js';
import {HealthTable} from './health_table.js';
import {checkReachable, isConnectError} from './probe.js';
import {SlotLimiters} from './slot_limiters.js';
import {SlotLimiter, SlotLease} from './slot_limiter.js';

/** Dependencies of the guard on the rest of the node. */
export interface GuardContext {
  getConfiguration(): Configuration;
  /** Typical response time of a service over all its backend servers, 0 if unknown. */
  getBaseline(service: ServiceId): Millis;
  /** Whether this server's ejection shares a cause with others of the service; without the method none does. */
  hasCommonCause?(server: BackendServerId, service: ServiceId): boolean;
  /** Called when the report of a server changes abruptly, such as by an ejection or a drain. */
  onReportChange(): void;
}

const defaultStallMs: Millis = 2000;
const probeCheckMs: Millis = 1000;
const overdueCheckMs: Millis = 250;

/** Admission control and proxy for the backend servers of this VM; observes their health in every exchange. */
export class Guard {
  readonly announcements = new AnnouncementTable();
  private readonly slotLimiters: SlotLimiters;
  private readonly health: HealthTable;
  private readonly exchanges = new Map<ExchangeObserver, Announcement>();
  private readonly agent: Agent;

  constructor(
    private readonly context: GuardContext,
    private readonly clock: Clock,
    private readonly logger: Logger,
    localAddress?: string,
  ) {
    this.slotLimiters = new SlotLimiters(
      () => context.getConfiguration(),
      clock,
    );
    this.agent = new Agent({
      connections: 512,
      pipelining: 1,
      keepAliveTimeout: 4000,
      localAddress,
      connect: {timeout: 1000},
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    this.health = new HealthTable(
      {
        getRule: ({service}) => this.getRule(service),
        getBaseline: ({service}) => context.getBaseline(service),
        hasCommonCause: ({server, service}) =>
          context.hasCommonCause?.(server, service) ?? false,
        onChange: () => context.onReportChange(),
      },
      clock,
      logger,
    );
  }

  /** Probes idle backend servers and checks for overdue responses until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([
      runEvery(this.clock, probeCheckMs, signal, () => this.checkIdleServers()),
      runEvery(this.clock, overdueCheckMs, signal, () => this.checkOverdue()),
    ]);
  }

  /** Handles an announcement of a backend server on this VM. */
  announce(value: unknown): E.Either<Error, Announcement> {
    const before = this.announcements.list();
    const recorded = this.announcements.record(value, this.clock.getTime());
    if (E.isRight(recorded)) {
      const previous = before.find(
        other => other.server === recorded.right.server,
      );
      if (previous?.phase === 'starting' && recorded.right.phase === 'ready') {
        this.health.reset(recorded.right);
      }
      this.slotLimiters.apply(recorded.right);
      if (previous?.phase !== recorded.right.phase)
        this.context.onReportChange();
    }
    return recorded;
  }

  /** Lists the reports on backend servers for this node's record, and removes servers whose announcement expired. */
  listReports(): ServerReport[] {
    const now = this.clock.getTime();
    for (const expired of this.announcements.removeExpired(now)) {
      this.logger.warn(
        {server: expired.server},
        'backend server announcement expired',
      );
      this.slotLimiters.remove(expired.server, 'unknown-server');
    }
    return this.announcements.list().map(announcement => {
      const {server, service, pool, incarnation, slots, phase} = announcement;
      return {
        server,
        service,
        pool,
        incarnation,
        slots,
        phase,
        ...this.health.report(announcement),
      };
    });
  }

  /** Admits a call and forwards it to its backend server. */
  async serve(call: GuardCall): Promise<GuardResult> {
    const announcement = this.announcements.get(call.server);
    if (!announcement) return {kind: 'refused', reason: 'unknown-server'};
    if (this.isDraining(call.server)) {
      return {kind: 'refused', reason: 'draining'};
    }
    const limiter = this.slotLimiters.get(announcement);
    const admission = await limiter.admit(
      call.partner,
      call.deadline,
      call.signal,
      call.mayQueue,
    );
    if (E.isLeft(admission)) {
      return {kind: 'refused', reason: admission.left, load: limiter.getLoad()};
    }
    // During the wait in the queue the caller may have disconnected or the server started to drain.
    if (call.signal.aborted || this.isDraining(call.server)) {
      admission.right.release();
      return {
        kind: 'refused',
        reason: call.signal.aborted ? 'deadline' : 'draining',
      };
    }
    return this.forward(call, announcement, admission.right, limiter);
  }

  async close(): Promise<void> {
    await this.agent.close();
  }

  private async forward(
    call: GuardCall,
    announcement: Announcement,
    lease: SlotLease,
    limiter: SlotLimiter,
  ): Promise<GuardResult> {
    const service = this.getService(announcement.service);
    const controller = new AbortController();
    const observer = new ExchangeObserver(this.clock, call);
    this.exchanges.set(observer, announcement);
    let ended = false;

    const end = (observation: Observation) => {
      if (ended) return;
      ended = true;
      this.exchanges.delete(observer);
      lease.release();
      timer.cancel();
      call.signal.removeEventListener('abort', abortExchange);
      this.health.observe(announcement, observation);
    };
    const abortExchange = () => {
      end(observer.observeAbort());
      controller.abort(exchangeAbortError);
    };
    call.signal.addEventListener('abort', abortExchange, {once: true});
    const timer = this.clock.startTimer(
      call.deadline - this.clock.getTime(),
      abortExchange,
    );

    try {
      const response = await this.agent.request({
        origin: `http://${announcement.address}`,
        path: call.path,
        method: call.method as Dispatcher.HttpMethod,
        headers: {
          ...call.headers,
          [nodeHeaders.requestId]: call.requestId,
          [nodeHeaders.deadline]: String(
            Math.max(1, Math.round(call.deadline - this.clock.getTime())),
          ),
        },
        body: call.body,
        signal: controller.signal,
        bodyTimeout: service?.stallMs ?? defaultStallMs,
      });
      if (response.statusCode === 503 && response.headers[nodeHeaders.notRun]) {
        await response.body.dump();
        end({kind: 'reached', atMs: this.clock.getTime()});
        return {
          kind: 'refused',
          reason: 'backend-shed',
          load: limiter.getLoad(),
        };
      }
      observer.recordHeaders(response.headers, response.body);
      finished(response.body, {writable: false}, error =>
        end(
          isAbort(error)
            ? observer.observeAbort()
            : observer.observeEnd(!error && response.statusCode < 500),
        ),
      );
      return {
        kind: 'answer',
        status: response.statusCode,
        headers: pickForwardHeaders(response.headers),
        body: response.body,
        load: limiter.getLoad(),
      };
    } catch (error) {
      const timedOut = this.clock.getTime() >= call.deadline;
      const atMs = this.clock.getTime();
      const unreachable = isConnectError(error);
      end(
        unreachable
          ? {kind: 'connect-failed', atMs}
          : observer.observeEnd(false),
      );
      this.logger.debug(
        {requestId: call.requestId, error: describeError(error)},
        'exchange failed',
      );
      if (unreachable) return {kind: 'refused', reason: 'unreachable'};
      const reason: FailureReason = timedOut ? 'timeout' : 'reset';
      return {kind: 'failed', reason};
    }
  }

  private checkOverdue(): void {
    for (const [observer, announcement] of this.exchanges) {
      const limitMs = this.health.getSlowLimit(announcement);
      const observation = observer.observeOverdue(limitMs);
      if (observation) this.health.observe(announcement, observation);
    }
  }

  private async checkIdleServers(): Promise<void> {
    const idle = this.announcements
      .list()
      .filter(announcement => this.health.needsProbe(announcement));
    await Promise.all(
      idle.map(async announcement => {
        const reached = await checkReachable(this.agent, announcement.address);
        this.health.observe(announcement, {
          kind: reached ? 'reached' : 'connect-failed',
          atMs: this.clock.getTime(),
        });
      }),
    );
  }

  private getService(service: ServiceId): Service | undefined {
    return this.context.getConfiguration().services[service];
  }

  private getRule(service: ServiceId): EjectionRule {
    return this.getService(service)?.rule ?? presets.careful;
  }

  private isDraining(server: BackendServerId): boolean {
    const phase = this.announcements.get(server)?.phase;
    return (
      phase === 'draining' ||
      phase === 'stopped' ||
      this.context.getConfiguration().retired[server] !== undefined
    );
  }
}

// These codes mean that the guard or the receiver of the body aborted the transfer, not the backend server.
function isAbort(error: Error | null | undefined): boolean {
  const code = (error as NodeJS.ErrnoException | null | undefined)?.code;
  return code === 'UND_ERR_ABORTED' || code === 'ERR_STREAM_PREMATURE_CLOSE';
}
