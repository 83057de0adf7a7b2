import {buildConnector, Client} from 'undici';
import {Millis} from '../base/index.js';

/** Must stay below the idle timeout of the backend servers, which close idle connections after 10 s. */
const idleTimeoutMs: Millis = 4000;
const connectTimeoutMs: Millis = 500;

/** One connection to a backend server; carries one request at a time. */
export interface BackendConnection {
  readonly address: string;
  readonly client: Client;
  /** Whether the connection failed; undici does not report this for a response without a content length. */
  hasFailed: boolean;
  /** Whether the current socket has carried an answer; what the server writes once more arrives on such a socket. */
  hasAnswered: boolean;
}

/** Connections to the backend server of this VM, reused in LIFO order so that surplus ones become idle and close. */
export class BackendConnectionPool {
  private idle: BackendConnection[] = [];

  constructor(private readonly localAddress: string) {}

  /** Returns an idle connection, or a new one if there is none or `mustBeNew` is set. */
  claim(address: string, mustBeNew: boolean): BackendConnection {
    this.idle = this.idle.filter(connection => {
      const isUsable =
        connection.address === address &&
        !connection.hasFailed &&
        !connection.client.destroyed;
      if (!isUsable) void connection.client.destroy();
      return isUsable;
    });
    const idle = mustBeNew ? undefined : this.idle.pop();
    return idle ?? this.createConnection(address);
  }

  /** Returns a connection to the pool, or closes it if it failed or may still receive bytes of an earlier exchange. */
  release(connection: BackendConnection, isClean: boolean): void {
    connection.hasAnswered = true;
    if (isClean && !connection.hasFailed) this.idle.push(connection);
    else void connection.client.destroy();
  }

  private createConnection(address: string): BackendConnection {
    const connect = buildConnector({
      timeout: connectTimeoutMs,
      localAddress: this.localAddress,
    });
    const connection: BackendConnection = {
      address,
      hasFailed: false,
      hasAnswered: false,
      client: new Client(`http://${address}`, {
        pipelining: 1,
        keepAliveTimeout: idleTimeoutMs,
        keepAliveMaxTimeout: idleTimeoutMs,
        headersTimeout: 0,
        bodyTimeout: 0,
        connect: (options, callback) => {
          // The client opens another socket after its idle one was closed.
          connection.hasFailed = false;
          connection.hasAnswered = false;
          connect(options, (error, socket) => {
            if (error) return callback(error, null);
            socket.on('error', failure => {
              if (isNetworkError(failure)) connection.hasFailed = true;
            });
            // A reset received before the read appears as an `end` event of a socket without a remote address.
            socket.once('end', () => {
              if (!socket.remoteAddress) connection.hasFailed = true;
            });
            return callback(null, socket);
          });
        },
      }),
    };
    return connection;
  }
}

/** Excludes errors raised by undici itself, which also follow an orderly close. */
function isNetworkError(error: NodeJS.ErrnoException): boolean {
  return !error.code?.startsWith('UND_');
}
