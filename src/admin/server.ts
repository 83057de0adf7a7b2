import Fastify, {FastifyInstance} from 'fastify';
import {Registry} from 'prom-client';
import {
  AccountId,
  asId,
  describeError,
  InvalidInputError,
  Logger,
  NotFoundError,
  ServiceId,
  UnauthorizedError,
} from '../base/index.js';
import {isSameSecret} from '../hash/index.js';
import {getErrorStatus, makeErrorBody} from './errors.js';
import {registerFleetMetrics} from './metrics.js';
import {PlanOptions, registerPlanCalls} from './plans.js';
import {
  listAccounts,
  makeAccountView,
  makeConfigView,
  makeServiceView,
  makeStatusView,
} from './views.js';

/** Dependencies of the administration API. */
export interface AdminOptions extends PlanOptions {
  readonly token: string;
  /** Metrics of the whole node. */
  readonly registry: Registry;
  readonly logger: Logger;
}

// A plan record is at most 1 MiB, but the JSON of a client may contain white space.
const maxBodyBytes = 4 * 1024 * 1024;
const maxAccountsPerPage = 1000;

/** Builds the administration API under /v1, and /metrics; every call requires the operator token. */
export function buildAdminServer(options: AdminOptions): FastifyInstance {
  const app = Fastify({
    forceCloseConnections: true,
    bodyLimit: maxBodyBytes,
  });
  app.setErrorHandler((error, request, reply) => {
    const status = getErrorStatus(error);
    if (status === 500) {
      options.logger.error(
        {path: request.url, error: describeError(error)},
        'administration call failed',
      );
    }
    return reply.code(status).send(makeErrorBody(error));
  });
  app.setNotFoundHandler(request => {
    throw new NotFoundError(
      `${request.method} ${request.url.slice(0, 80)} does not exist; the calls are listed in docs/api.md`,
    );
  });
  app.addHook('onRequest', async request => {
    const authorization = request.headers.authorization ?? '';
    if (!isSameSecret(authorization, `Bearer ${options.token}`)) {
      throw new UnauthorizedError(
        'the operator token is missing or wrong; send Authorization: Bearer TOKEN',
      );
    }
  });
  registerPlanCalls(app, options);
  registerReadCalls(app, options);
  registerFleetMetrics(options.registry, options);
  return app;
}

function registerReadCalls(app: FastifyInstance, options: AdminOptions): void {
  const {follower, roster, registry} = options;

  app.get('/v1/config', async () =>
    makeConfigView(follower.getConfiguration()),
  );
  app.get('/v1/nodes', async () => roster.list());
  app.get('/v1/status', async () => makeStatusView(options));
  app.get('/v1/services', async () =>
    Object.values(follower.getConfiguration().services).map(service =>
      makeServiceView(options, service),
    ),
  );
  app.get<{Params: {service: string}}>(
    '/v1/services/:service',
    async request => {
      const id = asId<ServiceId>(request.params.service);
      const service = follower.getConfiguration().services[id];
      if (!service) {
        throw new NotFoundError(
          `service ${id} does not exist; list /v1/services`,
        );
      }
      return makeServiceView(options, service);
    },
  );
  app.get<{Querystring: {after?: string; limit?: string; partner?: string}}>(
    '/v1/accounts',
    async request => {
      const {after, partner, limit = '100'} = request.query;
      const count = Number(limit);
      if (!Number.isInteger(count) || count < 1 || count > maxAccountsPerPage) {
        throw new InvalidInputError(
          `limit: expected an integer from 1 to ${maxAccountsPerPage}, got ${limit}`,
        );
      }
      const config = follower.getConfiguration();
      return listAccounts(config, after ?? '', count, partner);
    },
  );
  app.get<{Params: {account: string}}>(
    '/v1/accounts/:account',
    async request => {
      const id = asId<AccountId>(request.params.account);
      const account = follower.getConfiguration().accounts[id];
      if (!account) {
        throw new NotFoundError(
          `account ${id} does not exist; list /v1/accounts`,
        );
      }
      return makeAccountView(account);
    },
  );
  app.get('/metrics', async (_request, reply) => {
    void reply.header('content-type', registry.contentType);
    return registry.metrics();
  });
}
