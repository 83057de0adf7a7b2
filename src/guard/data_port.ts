import {IncomingMessage, ServerResponse} from 'node:http';
import {pipeline} from 'node:stream';
import Fastify, {FastifyInstance} from 'fastify';
import {
  asId,
  BackendServerId,
  Clock,
  PartnerId,
  RequestId,
} from '../base/index.js';
import {isSameSecret, signParts} from '../hash/index.js';
import {NodeCallServer} from '../nodecalls/index.js';
import {
  GuardResult,
  GuardCall,
  nodeHeaders,
  pickForwardHeaders,
} from './call.js';
import {Guard} from './guard.js';

/** Signs a call with the cluster key, which authenticates the sending node as a member of the fleet. */
export function signCall(
  clusterKey: string,
  requestId: string,
  server: string,
): string {
  return signParts(clusterKey, ['call', requestId, server]);
}

/** Builds a fastify server that passes raw streams to its handler, without a limit on body size. */
export function buildStreamServer(
  onRequest: (
    request: IncomingMessage,
    response: ServerResponse,
  ) => Promise<void>,
): FastifyInstance {
  const app = Fastify({
    keepAliveTimeout: 75_000,
    requestTimeout: 0,
    exposeHeadRoutes: false,
    // Shutdown closes idle connections; others complete their exchange first.
    forceCloseConnections: 'idle',
  });
  app.removeAllContentTypeParsers();
  app.addContentTypeParser('*', (_request, payload, done) =>
    done(null, payload),
  );
  app.all('/*', async (request, reply) => {
    reply.hijack();
    await onRequest(request.raw, reply.raw).catch(() => reply.raw.destroy());
  });
  return app;
}

/** Returns a signal that aborts when the peer disconnects before the response is complete. */
export function makeDisconnectSignal(response: ServerResponse): AbortSignal {
  const controller = new AbortController();
  response.once('close', () => {
    if (!response.writableFinished) controller.abort();
  });
  return controller.signal;
}

/** Builds the HTTP server on which other nodes send calls to this node's guard. */
export function buildDataPort(
  guard: Guard,
  clusterKey: string,
  clock: Clock,
  calls: NodeCallServer,
): FastifyInstance {
  return buildStreamServer(async (request, response) => {
    if (calls.isNodeCall(request)) return calls.handle(request, response);
    const requestId = String(request.headers[nodeHeaders.requestId] ?? '');
    const server = String(request.headers[nodeHeaders.server] ?? '');
    const signature = String(request.headers[nodeHeaders.auth] ?? '');
    if (!isSameSecret(signature, signCall(clusterKey, requestId, server))) {
      response.writeHead(401, {connection: 'close'});
      response.end('the cluster key of the peer is missing or wrong');
      return;
    }
    const call: GuardCall = {
      requestId: asId<RequestId>(requestId),
      server: asId<BackendServerId>(server),
      partner: asId<PartnerId>(
        String(request.headers[nodeHeaders.partner] ?? ''),
      ),
      method: request.method ?? 'GET',
      path: request.url ?? '/',
      headers: pickForwardHeaders(request.headers),
      body: hasBody(request) ? request : null,
      deadline:
        clock.getTime() + Number(request.headers[nodeHeaders.deadline] ?? 0),
      signal: makeDisconnectSignal(response),
      mayQueue: request.headers[nodeHeaders.queue] !== 'no',
    };
    writeGuardResult(response, await guard.serve(call));
  });
}

/** Whether the headers of a request announce a body. */
export function hasBody(request: IncomingMessage): boolean {
  return (
    request.headers['transfer-encoding'] !== undefined ||
    Number(request.headers['content-length'] ?? 0) > 0
  );
}

function writeGuardResult(response: ServerResponse, result: GuardResult): void {
  if (response.destroyed) return;
  switch (result.kind) {
    case 'refused':
      response.writeHead(503, {
        [nodeHeaders.refused]: result.reason,
        ...(result.load && {
          [nodeHeaders.load]: `${result.load.free}/${result.load.slots}`,
        }),
      });
      response.end();
      return;
    case 'failed':
      response.writeHead(502, {[nodeHeaders.failed]: result.reason});
      response.end();
      return;
    case 'answer':
      response.writeHead(result.status, {
        ...result.headers,
        ...(result.load && {
          [nodeHeaders.load]: `${result.load.free}/${result.load.slots}`,
        }),
      });
      pipeline(result.body, response, error => {
        if (error) response.destroy();
      });
  }
}
