import {IncomingMessage, ServerResponse} from 'node:http';
import {pack, unpack} from 'msgpackr';
import {Agent} from 'undici';
import {describeError, Millis, UnavailableError} from '../base/index.js';
import {isSameSecret, signParts} from '../hash/index.js';

const callHeader = 'fescuewheel-call';
const proofHeader = 'fescuewheel-auth';
// A configuration snapshot at 8,200 routes and 21,000 accounts is a few megabytes.
const maxCallBodyBytes = 64 * 1024 * 1024;

/** Handles one kind of call; the message of an error it throws is returned to the calling node. */
export type NodeCallHandler = (body: unknown) => Promise<unknown>;

function signCallBody(clusterKey: string, name: string, body: Buffer): string {
  return signParts(clusterKey, ['node-call', name, body.toString('base64')]);
}

/** Serves remote procedure calls that other nodes make, by name, to this node's data port. */
export class NodeCallServer {
  private readonly handlers = new Map<string, NodeCallHandler>();

  constructor(private readonly clusterKey: string) {}

  register(name: string, handler: NodeCallHandler): void {
    this.handlers.set(name, handler);
  }

  /** Returns whether an HTTP request is a call from a node. */
  isNodeCall(request: IncomingMessage): boolean {
    return request.headers[callHeader] !== undefined;
  }

  async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const name = String(request.headers[callHeader]);
    const body = await readBody(request);
    const proof = String(request.headers[proofHeader] ?? '');
    if (!isSameSecret(proof, signCallBody(this.clusterKey, name, body))) {
      sendReply(response, 401, {
        message: 'the cluster key of the calling node is missing or wrong',
      });
      return;
    }
    const handler = this.handlers.get(name);
    if (!handler) {
      sendReply(response, 404, {message: `unknown call ${name}`});
      return;
    }
    try {
      sendReply(response, 200, await handler(unpack(body)));
    } catch (error) {
      sendReply(response, 500, {message: describeError(error)});
    }
  }
}

/** Makes remote procedure calls to the data ports of other nodes. */
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

  /** Calls `name` on the node at `host:port`. After an UnavailableError the call may or may not have taken effect. */
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
      const response = await this.agent.request({
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
      status = response.statusCode;
      value = unpack(Buffer.from(await response.body.arrayBuffer()));
    } catch (error) {
      throw new UnavailableError(
        `node ${address} did not answer call ${name}: ${describeError(error)}; check that the node is running`,
        {cause: error},
      );
    }
    if (status === 200) return value;
    const {message} = value as {message: string};
    throw new UnavailableError(
      `node ${address} refused call ${name}: ${message}`,
    );
  }

  async close(): Promise<void> {
    await this.agent.destroy();
  }
}

async function readBody(request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of request) {
    length += (chunk as Buffer).length;
    if (length > maxCallBodyBytes) throw new Error('call body exceeds 64 MiB');
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks);
}

function sendReply(
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
