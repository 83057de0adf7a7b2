import {buildConnector, Client} from 'undici';
import {Millis} from '../base/index.js';

/** Shorter than the 10 s after which the first users' servers close idle connections. */
const idleMs: Millis = 4000;
const connectMs: Millis = 500;

/** One connection to a backend server; carries one request at a time. */
export interface BackendConnection {
  readonly address: string;
  readonly client: Client;
  /** Whether the connection ended with an error, which undici does not tell of an answer without a length. */
  hasFailed: boolean;
}

/** Connections to the backend server of this VM; the one used last is used first, so that the others can close. */
export class BackendConnectionPool {
  private idle: BackendConnection[] = [];

  constructor(private readonly localAddress: string) {}

  /** Takes an idle connection, or a new one if there is none or it must be new. */
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

  /** Gives a connection back; one that may still carry bytes of its last exchange is closed. */
  release(connection: BackendConnection, isClean: boolean): void {
    if (isClean && !connection.hasFailed) this.idle.push(connection);
    else void connection.client.destroy();
  }

  private createConnection(address: string): BackendConnection {
    const connect = buildConnector({
      timeout: connectMs,
      localAddress: this.localAddress,
    });
    const connection: BackendConnection = {
      address,
      hasFailed: false,
      client: new Client(`http://${address}`, {
        pipelining: 1,
        keepAliveTimeout: idleMs,
        keepAliveMaxTimeout: idleMs,
        headersTimeout: 0,
        bodyTimeout: 0,
        connect: (options, callback) => {
          // A client whose idle connection was closed opens another one.
          connection.hasFailed = false;
          connect(options, (error, socket) => {
            if (error) return callback(error, null);
            socket.on('error', failure => {
              if (isFromNetwork(failure)) connection.hasFailed = true;
            });
            // A reset that was met before the read shows as an end of a socket that has no peer any more.
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

/** Errors of undici itself also follow an orderly end. */
function isFromNetwork(error: NodeJS.ErrnoException): boolean {
  return !error.code?.startsWith('UND_');
}
