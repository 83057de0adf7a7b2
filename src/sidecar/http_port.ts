import Fastify, {FastifyHttpOptions, FastifyInstance} from 'fastify';
import {Server} from 'node:http';
import {Registry} from 'prom-client';

/**
 * Builds an HTTP server for one of the node's auxiliary ports. Its routes have no schemas; leaving out the schema
 * compilers saves a fifth of the process's start-up time.
 */
export function buildHttpPort(
  options: FastifyHttpOptions<Server> = {},
): FastifyInstance {
  return Fastify({
    forceCloseConnections: true,
    ...options,
    schemaController: {
      compilersFactory: {
        buildValidator: () => refuseSchema,
        buildSerializer: () => refuseSchema,
      },
    },
  });
}

function refuseSchema(): never {
  throw new Error(
    'routes of this port cannot have schemas; decode in the handler instead',
  );
}

/** Builds the port on which the metrics of a registry can be read. */
export function buildMetricsPort(registry: Registry): FastifyInstance {
  const app = buildHttpPort();
  app.get('/metrics', async (_request, reply) =>
    reply
      .header('content-type', registry.contentType)
      .send(await registry.metrics()),
  );
  return app;
}
