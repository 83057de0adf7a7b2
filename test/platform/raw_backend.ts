import {createServer, Server, Socket} from 'node:net';
import {platformHeaders} from '../../platform/index.js';

/** A request as it arrived, with the number of requests before it on its connection. */
export interface RawRequest {
  readonly id: string;
  readonly socket: Socket;
  readonly before: number;
}

/** Stand-in for a backend server that writes the bytes of its answers itself. */
export class RawBackend {
  readonly requests: RawRequest[] = [];
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();

  constructor(private readonly answer: (request: RawRequest) => void) {
    this.server = createServer(socket => {
      this.sockets.add(socket);
      let before = 0;
      let text = '';
      socket.on('error', () => undefined);
      socket.on('data', bytes => {
        text += bytes.toString('latin1');
        const [head, body] = text.split('\r\n\r\n');
        const length = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);
        if (body === undefined || body.length < length) return;
        const pattern = new RegExp(`${platformHeaders.requestId}: (.*)`, 'i');
        const request = {id: pattern.exec(head)?.[1] ?? '', socket, before};
        text = '';
        before += 1;
        this.requests.push(request);
        this.answer(request);
      });
    });
  }

  async start(host: string, port: number): Promise<void> {
    await new Promise<void>(resolve => this.server.listen(port, host, resolve));
  }

  stop(): void {
    for (const socket of this.sockets) socket.destroy();
    this.server.close();
  }
}

/** Encodes a head without its end. */
export function encodeHead(status: number, headers: object): string {
  const lines = Object.entries(headers).map(
    ([name, value]) => `${name}: ${value}`,
  );
  return [`HTTP/1.1 ${status} X`, ...lines].join('\r\n');
}

/** Encodes a whole answer that a client accepts as that of this request. */
export function encodeSuccess(id: string, body = 'whole'): string {
  const head = encodeHead(200, {
    [platformHeaders.requestId]: id,
    [platformHeaders.signature]: 's',
    'content-length': body.length,
  });
  return `${head}\r\n\r\n${body}`;
}
