import {request} from 'undici';
import {describeError} from '../base/index.js';
import {CliError, exitCodes, makeUsageError} from './exit.js';

// A confirmation is answered within 5 s and the log's own timeout.
const timeoutMs = 15_000;

/** Where and as whom to call. */
export interface AdminClientOptions {
  /** Administration addresses, tried in turn. */
  readonly nodes: readonly string[];
  readonly token: string;
}

interface Answer {
  readonly status: number;
  readonly body: {readonly error?: {readonly message: string}};
}

function getExitCode(status: number): CliError['code'] {
  if (status === 400 || status === 413) return exitCodes.usage;
  if (status === 409) return exitCodes.conflict;
  if (status === 503) return exitCodes.unavailable;
  return exitCodes.failed;
}

function parseNode(text: string): string {
  const url = /^https?:\/\//.test(text) ? text : `http://${text}`;
  if (URL.canParse(url)) return url.replace(/\/+$/, '');
  throw makeUsageError(`--node ${text}: give IP:port or http://IP:port`);
}

/** Calls the administration API of the first node that can serve. */
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
    this.urls = options.nodes.map(parseNode);
  }

  /** Gives the body of the answer; throws a CliError with the message of the node or nodes that refused. */
  async call(
    method: 'GET' | 'POST',
    path: string,
    body?: unknown,
  ): Promise<unknown> {
    const problems: string[] = [];
    for (const url of this.urls) {
      const answer = await this.callOne(url, method, path, body);
      if (typeof answer === 'string') {
        problems.push(answer);
        continue;
      }
      const {error} = answer.body;
      if (!error) return answer.body;
      if (answer.status !== 503) {
        throw new CliError(error.message, getExitCode(answer.status));
      }
      problems.push(`${url}: ${error.message}`);
    }
    throw new CliError(problems.join('\n'), exitCodes.unavailable);
  }

  private async callOne(
    url: string,
    method: 'GET' | 'POST',
    path: string,
    body: unknown,
  ): Promise<Answer | string> {
    try {
      const answer = await request(`${url}${path}`, {
        method,
        headers: {
          authorization: `Bearer ${this.options.token}`,
          ...(body !== undefined && {'content-type': 'application/json'}),
        },
        body: body === undefined ? undefined : JSON.stringify(body),
        signal: AbortSignal.timeout(timeoutMs),
      });
      const value = (await answer.body.json()) as Answer['body'];
      return {status: answer.statusCode, body: value};
    } catch (error) {
      return `${url}: ${describeError(error)}; check the address, that the node runs, or name another with --node`;
    }
  }
}
