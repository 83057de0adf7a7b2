import {randomUUID} from 'node:crypto';
import Fastify, {FastifyInstance} from 'fastify';
import * as E from 'fp-ts/lib/Either.js';
import * as t from 'io-ts';
import {
  Clock,
  ConflictError,
  decodeWith,
  InvalidInputError,
  isSameSecret,
  Logger,
  LogUnavailableError,
  Millis,
  NotFoundError,
  UnauthorizedError,
} from '../base/index.js';
import {
  applyChange,
  Change,
  changeCodec,
  ConfigFollower,
  ConfigState,
  Service,
} from '../config/index.js';
import {JudgedServer} from '../health/index.js';
import {Roster} from '../membership/index.js';

/** What the administration API shows and changes. */
export interface AdminOptions {
  readonly token: string;
  readonly follower: ConfigFollower;
  readonly roster: Roster;
  readonly judge: (service: Service) => readonly JudgedServer[];
  readonly clock: Clock;
  readonly logger: Logger;
}

const confirmWaitMs: Millis = 5000;
const changesCodec = t.type({changes: t.array(changeCodec)});

function getStatus(error: unknown): number {
  if (error instanceof UnauthorizedError) return 401;
  if (error instanceof InvalidInputError) return 400;
  if (error instanceof NotFoundError) return 404;
  if (error instanceof ConflictError) return 409;
  if (error instanceof LogUnavailableError) return 503;
  return (error as {statusCode?: number}).statusCode ?? 500;
}

function checkChanges(state: ConfigState, changes: readonly Change[]): void {
  let config = state.config;
  for (const change of changes) {
    const changed = applyChange(config, change);
    if (E.isLeft(changed)) throw changed.left;
    config = changed.right;
  }
}

/** Builds the administration API under /v1. */
export function buildAdminServer(options: AdminOptions): FastifyInstance {
  const {follower, roster} = options;
  const app = Fastify({forceCloseConnections: true});

  app.setErrorHandler((error, _request, reply) => {
    const {name, message} = error as Error;
    return reply.code(getStatus(error)).send({error: {kind: name, message}});
  });
  app.addHook('onRequest', async request => {
    const given = request.headers.authorization ?? '';
    if (!isSameSecret(given, `Bearer ${options.token}`)) {
      throw new UnauthorizedError(
        'the operator token is missing or wrong; send Authorization: Bearer TOKEN',
      );
    }
  });

  app.post('/v1/plans', async request => {
    const body = decodeWith(changesCodec, request.body);
    if (E.isLeft(body)) throw body.left;
    const state = follower.getState();
    checkChanges(state, body.right.changes);
    const plan = randomUUID();
    await follower.append({
      kind: 'plan',
      plan,
      baseVersion: state.config.version,
      changes: body.right.changes,
    });
    return {
      plan,
      baseVersion: state.config.version,
      changes: body.right.changes,
    };
  });

  app.post<{Params: {plan: string}}>(
    '/v1/plans/:plan/confirm',
    async request => {
      const confirmation = randomUUID();
      const {plan} = request.params;
      await follower.append({kind: 'confirm', plan, confirmation});
      const outcome = await follower.waitForOutcome(
        confirmation,
        confirmWaitMs,
      );
      if (!outcome) {
        throw new LogUnavailableError(
          'the confirmation was not read back in time; ask for the status before confirming again',
        );
      }
      if (outcome.kind === 'refused') throw new ConflictError(outcome.reason);
      return outcome;
    },
  );

  app.get('/v1/config', async () => follower.getConfiguration());
  app.get('/v1/nodes', async () => roster.list());
  app.get('/v1/status', async () => {
    const config = follower.getConfiguration();
    return {
      version: config.version,
      nodes: roster.list().map(record => ({
        node: record.node,
        dataCentre: record.dataCentre,
        state: record.state,
        configVersion: record.configVersion,
      })),
      services: Object.values(config.services).map(service => ({
        service: service.id,
        floor: service.floor,
        servers: options.judge(service).map(({known, verdict}) => ({
          server: known.report.server,
          node: known.record.node,
          phase: known.report.phase,
          verdict,
        })),
      })),
    };
  });
  return app;
}
