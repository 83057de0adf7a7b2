import {IncomingMessage, ServerResponse} from 'node:http';
import {pack, unpack} from 'msgpackr';
import {Agent} from 'undici';
import {
  describeError,
  isSameSecret,
  Millis,
  signParts,
  UnavailableError,
} from '../base/index.js';

const callHeader = 'fescuewheel-call';
const proofHeader = 'fescuewheel-auth';
// A configuration snapshot at 8,200 routes and 21,000 accounts is a few megabytes.
const maxBodyBytes = 64 * 1024 * 1024;

/** Answers one kind of call between nodes; what it throws reaches the other node as a message. */
export type NodeCallHandler = (body: unknown) => Promise<unknown>;

function signCallBody(clusterKey: string, name: string, body: Buffer): string {
  return signParts(clusterKey, ['node-call', name, body.toString('base64')]);
}

/** Calls by name that other nodes make on this node's data port. */
export class NodeCallServer {
  private readonly handlers = new Map<string, NodeCallHandler>();

  constructor(private readonly clusterKey: string) {}

  register(name: string, handler: NodeCallHandler): void {
    this.handlers.set(name, handler);
  }

  /** Tells whether a request is such a call. */
  isNodeCall(request: IncomingMessage): boolean {
    return request.headers[callHeader] !== undefined;
  }

  async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const name = String(request.headers[callHeader]);
    const body = await readBounded(request);
    const proof = String(request.headers[proofHeader] ?? '');
    if (!isSameSecret(proof, signCallBody(this.clusterKey, name, body))) {
      sendBytes(response, 401, {
        message: 'the cluster key of the peer is missing or wrong',
      });
      return;
    }
    const handler = this.handlers.get(name);
    if (!handler) {
      sendBytes(response, 404, {message: `unknown call ${name}`});
      return;
    }
    try {
      sendBytes(response, 200, await handler(unpack(body)));
    } catch (error) {
      sendBytes(response, 500, {message: describeError(error)});
    }
  }
}

/** Makes calls on other nodes' data ports. */
export class NodeCallClient {
  private readonly agent: Agent;

  constructor(
    private readonly clusterKey: string,
    localAddress?: string,
  ) {
    this.agent = new Agent({
      connections: 8,
      keepAliveTimeout: 60_000,
      localAddress,
      connect: {timeout: 1000},
    });
  }

  /** Calls `name` at `host:port`; an UnavailableError leaves open whether the call took effect there. */
  async call(
    address: string,
    name: string,
    body: unknown,
    timeoutMs: Millis,
  ): Promise<unknown> {
    const bytes = pack(body);
    let status: number;
    let value: unknown;
    try {
      const answer = await this.agent.request({
        origin: `http://${address}`,
        path: '/',
        method: 'POST',
        headers: {
          [callHeader]: name,
          [proofHeader]: signCallBody(this.clusterKey, name, bytes),
          'content-type': 'application/vnd.msgpack',
        },
        body: bytes,
        signal: AbortSignal.timeout(Math.max(1, Math.round(timeoutMs))),
      });
      status = answer.statusCode;
      value = unpack(Buffer.from(await answer.body.arrayBuffer()));
    } catch (error) {
      throw new UnavailableError(
        `node ${address} did not answer ${name}: ${describeError(error)}; check that it runs`,
        {cause: error},
      );
    }
    if (status === 200) return value;
    const {message} = value as {message: string};
    throw new UnavailableError(`node ${address} refused ${name}: ${message}`);
  }

  async close(): Promise<void> {
    await this.agent.destroy();
  }
}

async function readBounded(request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of request) {
    length += (chunk as Buffer).length;
    if (length > maxBodyBytes) throw new Error('body of a call is too large');
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks);
}

function sendBytes(
  response: ServerResponse,
  status: number,
  value: unknown,
): void {
  const bytes = pack(value);
  response.writeHead(status, {
    'content-type': 'application/vnd.msgpack',
    'content-length': bytes.length,
  });
  response.end(bytes);
}
