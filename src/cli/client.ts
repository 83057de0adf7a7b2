import {request} from 'undici';
import {describeError} from '../base/index.js';
import {CliError, exitCodes, makeUsageError} from './exit.js';

// A node responds to a confirmation within 5 s plus the timeout of its log client.
const timeoutMs = 15_000;

/** Nodes to call and the operator token. */
export interface AdminClientOptions {
  /** Administration addresses, tried in turn. */
  readonly nodes: readonly string[];
  readonly token: string;
}

interface ApiResponse {
  readonly status: number;
  readonly body: {readonly error?: {readonly message: string}};
}

function getExitCode(status: number): CliError['code'] {
  if (status === 400 || status === 413) return exitCodes.usage;
  if (status === 409) return exitCodes.conflict;
  if (status === 503) return exitCodes.unavailable;
  return exitCodes.failed;
}

function parseNodeUrl(text: string): string {
  const url = /^https?:\/\//.test(text) ? text : `http://${text}`;
  if (URL.canParse(url)) return url.replace(/\/+$/, '');
  throw makeUsageError(`--node ${text}: expected IP:port or http://IP:port`);
}

/** Calls the administration API of the first node that is reachable and does not respond with 503. */
export class AdminClient {
  private readonly urls: readonly string[];

  constructor(private readonly options: AdminClientOptions) {
    if (options.nodes.length === 0) {
      throw makeUsageError(
        'no node given; use --node IP:port, or set FESCUEWHEEL_NODES=IP:port,IP:port',
      );
    }
    if (options.token === '') {
      throw makeUsageError(
        'no operator token given; set FESCUEWHEEL_TOKEN, or use --token',
      );
    }
    this.urls = options.nodes.map(parseNodeUrl);
  }

  /** Returns the body of the response; throws a CliError with the error messages of the nodes. */
  async call(
    method: 'GET' | 'POST',
    path: string,
    body?: unknown,
  ): Promise<unknown> {
    const errors: string[] = [];
    for (const url of this.urls) {
      const response = await this.callNode(url, method, path, body);
      if (typeof response === 'string') {
        errors.push(response);
        continue;
      }
      const {error} = response.body;
      if (!error) return response.body;
      if (response.status !== 503) {
        throw new CliError(error.message, getExitCode(response.status));
      }
      errors.push(`${url}: ${error.message}`);
    }
    throw new CliError(errors.join('\n'), exitCodes.unavailable);
  }

  private async callNode(
    url: string,
    method: 'GET' | 'POST',
    path: string,
    body: unknown,
  ): Promise<ApiResponse | string> {
    try {
      const response = await request(`${url}${path}`, {
        method,
        headers: {
          authorization: `Bearer ${this.options.token}`,
          ...(body !== undefined && {'content-type': 'application/json'}),
        },
        body: body === undefined ? undefined : JSON.stringify(body),
        signal: AbortSignal.timeout(timeoutMs),
      });
      const value = (await response.body.json()) as ApiResponse['body'];
      return {status: response.statusCode, body: value};
    } catch (error) {
      return `${url}: ${describeError(error)}; check the address and that the node is running, or try another with --node`;
    }
  }
}
