import {finished} from 'node:stream';
import * as E from 'fp-ts/lib/Either.js';
import {Agent, Dispatcher} from 'undici';
import {
  BackendServerId,
  Clock,
  describeError,
  Logger,
  Millis,
  ServiceId,
} from '../base/index.js';
import {
  Configuration,
  EjectionRule,
  presets,
  Service,
} from '../config/index.js';
import {
  advanceHealth,
  observeAnswer,
  reportHealth,
  ServerHealth,
  unknownHealth,
} from '../health/index.js';
import {ServerReport} from '../membership/index.js';
import {Announcement, Announcements} from './announcements.js';
import {
  FailureReason,
  GuardAnswer,
  GuardCall,
  nodeHeaders,
  pickForwardHeaders,
} from './call.js';
import {SlotTables} from './slot_tables.js';
import {SlotTable, SlotUse} from './slots.js';

/** What the guard needs from the rest of the node. */
export interface GuardContext {
  getConfiguration(): Configuration;
  /** Typical answer time of a service over all its backend servers, 0 if unknown. */
  getBaseline(service: ServiceId): Millis;
  /** Called when a report of a server changes at once, such as an ejection or a drain. */
  onReportChange(): void;
}

const defaultTimeoutMs: Millis = 5000;
const defaultStallMs: Millis = 2000;

/** The gate before the backend servers of this VM: counts slots, forwards, observes every answer. */
export class Guard {
  readonly announcements = new Announcements();
  private readonly slots: SlotTables;
  private readonly health = new Map<BackendServerId, ServerHealth>();
  private readonly agent: Agent;

  constructor(
    private readonly context: GuardContext,
    private readonly clock: Clock,
    private readonly logger: Logger,
    localAddress?: string,
  ) {
    this.slots = new SlotTables(() => context.getConfiguration(), clock);
    this.agent = new Agent({
      connections: 512,
      pipelining: 1,
      keepAliveTimeout: 4000,
      connect: {timeout: 1000, localAddress},
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }

  /** Takes an announcement of a backend server beside this node. */
  announce(value: unknown): E.Either<Error, Announcement> {
    const before = this.announcements.list();
    const taken = this.announcements.record(value, this.clock.getTime());
    if (E.isRight(taken)) {
      const known = before.find(other => other.server === taken.right.server);
      if (known?.incarnation !== taken.right.incarnation) {
        this.health.set(taken.right.server, unknownHealth);
      }
      this.slots.apply(taken.right);
      if (known?.phase !== taken.right.phase) this.context.onReportChange();
    }
    return taken;
  }

  /** What this node's record says of its backend servers. */
  listReports(): ServerReport[] {
    const now = this.clock.getTime();
    for (const gone of this.announcements.removeExpired(now)) {
      this.logger.warn({server: gone.server}, 'backend server gone');
      this.slots.remove(gone.server, 'unknown-server');
      this.health.delete(gone.server);
    }
    return this.announcements.list().map(announcement => {
      const rule = this.getRule(announcement.service);
      const health = advanceHealth(
        this.health.get(announcement.server) ?? unknownHealth,
        rule,
        now,
      );
      this.health.set(announcement.server, health);
      const {server, service, pool, incarnation, slots, phase} = announcement;
      return {
        server,
        service,
        pool,
        incarnation,
        slots,
        phase,
        health: reportHealth(health, rule, now),
        typicalMs: roundTypical(health.typicalMs),
      };
    });
  }

  /** Runs one call against a backend server of this VM. */
  async serve(call: GuardCall): Promise<GuardAnswer> {
    const announcement = this.announcements.get(call.server);
    if (!announcement) return {kind: 'refused', reason: 'unknown-server'};
    if (this.isLeaving(call.server)) {
      return {kind: 'refused', reason: 'draining'};
    }
    const slots = this.slots.get(announcement);
    const admitted = await slots.admit(
      call.partner,
      call.deadline,
      call.signal,
    );
    if (E.isLeft(admitted)) {
      return {kind: 'refused', reason: admitted.left, load: slots.getLoad()};
    }
    // The wait in the queue may have outlived the caller or the server's readiness.
    if (call.signal.aborted || this.isLeaving(call.server)) {
      admitted.right.release();
      return {
        kind: 'refused',
        reason: call.signal.aborted ? 'deadline' : 'draining',
      };
    }
    return this.forward(call, announcement, admitted.right, slots);
  }

  async close(): Promise<void> {
    await this.agent.close();
  }

  private async forward(
    call: GuardCall,
    announcement: Announcement,
    use: SlotUse,
    slots: SlotTable,
  ): Promise<GuardAnswer> {
    const service = this.getService(announcement.service);
    const startedAt = this.clock.getTime();
    const exchange = new AbortController();
    const abort = () => exchange.abort();
    call.signal.addEventListener('abort', abort, {once: true});
    const timer = this.startDeadline(call, exchange);
    let over = false;

    const end = (ok: boolean) => {
      if (over) return;
      over = true;
      use.release();
      timer.abort();
      call.signal.removeEventListener('abort', abort);
      // A caller that went away says nothing of the backend server.
      if (call.signal.aborted) return;
      this.observe(announcement, ok, this.clock.getTime() - startedAt);
    };

    try {
      const answer = await this.agent.request({
        origin: `http://${announcement.address}`,
        path: call.path,
        method: call.method as Dispatcher.HttpMethod,
        headers: {
          ...call.headers,
          [nodeHeaders.requestId]: call.requestId,
          [nodeHeaders.deadline]: String(
            Math.max(1, Math.round(call.deadline - startedAt)),
          ),
        },
        body: call.body,
        signal: exchange.signal,
        bodyTimeout: service?.stallMs ?? defaultStallMs,
      });
      if (answer.statusCode === 503 && answer.headers[nodeHeaders.notRun]) {
        await answer.body.dump();
        end(true);
        return {kind: 'refused', reason: 'backend-shed', load: slots.getLoad()};
      }
      finished(answer.body, {writable: false}, error =>
        end(!error && answer.statusCode < 500),
      );
      return {
        kind: 'answer',
        status: answer.statusCode,
        headers: pickForwardHeaders(answer.headers),
        body: answer.body,
        load: slots.getLoad(),
      };
    } catch (error) {
      const timedOut = this.clock.getTime() >= call.deadline;
      end(false);
      this.logger.debug(
        {requestId: call.requestId, error: describeError(error)},
        'exchange failed',
      );
      if (isConnectError(error))
        return {kind: 'refused', reason: 'unreachable'};
      const reason: FailureReason = timedOut ? 'timeout' : 'reset';
      return {kind: 'failed', reason};
    }
  }

  private startDeadline(
    call: GuardCall,
    exchange: AbortController,
  ): AbortController {
    const timer = new AbortController();
    void this.clock
      .sleep(call.deadline - this.clock.getTime(), timer.signal)
      .then(() => {
        if (!timer.signal.aborted) exchange.abort();
      });
    return timer;
  }

  private observe(
    announcement: Announcement,
    ok: boolean,
    tookMs: Millis,
  ): void {
    const before = this.health.get(announcement.server) ?? unknownHealth;
    const after = observeAnswer(
      before,
      this.getRule(announcement.service),
      this.context.getBaseline(announcement.service),
      {atMs: this.clock.getTime(), ok, tookMs},
    );
    this.health.set(announcement.server, after);
    if (before.state.kind !== after.state.kind) {
      this.logger.warn(
        {
          server: announcement.server,
          service: announcement.service,
          state: after.state,
        },
        'backend server health changed',
      );
      this.context.onReportChange();
    }
  }

  private getService(service: ServiceId): Service | undefined {
    return this.context.getConfiguration().services[service];
  }

  private getRule(service: ServiceId): EjectionRule {
    return this.getService(service)?.rule ?? presets.careful;
  }

  private isLeaving(server: BackendServerId): boolean {
    const phase = this.announcements.get(server)?.phase;
    return (
      phase === 'draining' ||
      phase === 'stopped' ||
      this.context.getConfiguration().retired[server] !== undefined
    );
  }
}

/** Deadline of a request of a service. */
export function getTimeout(service: Service | undefined): Millis {
  return service?.timeoutMs ?? defaultTimeoutMs;
}

// Steps of about 41%: noise within a step does not change the node record.
function roundTypical(typicalMs: Millis): Millis {
  if (typicalMs <= 0) return 0;
  return Math.round(10 * 2 ** (Math.round(2 * Math.log2(typicalMs)) / 2)) / 10;
}

/** Tells whether the connection was never made, so that no byte of the request left. */
export function isConnectError(error: unknown): boolean {
  const {code, syscall} = error as NodeJS.ErrnoException;
  return syscall === 'connect' || code === 'UND_ERR_CONNECT_TIMEOUT';
}
