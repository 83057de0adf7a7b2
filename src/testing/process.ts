import {ChildProcess, spawn} from 'node:child_process';
import {fileURLToPath} from 'node:url';

const distUrl = new URL('../', import.meta.url);

/** A child process started by a test, the demo or a benchmark. */
export interface RunningProcess {
  readonly child: ChildProcess;
  /** Lines of standard output so far. */
  readonly lines: string[];
  /** Lines of standard error so far. */
  readonly errors: string[];
  /** Resolves with the first line that passes the filter; rejects if the process ends before that. */
  waitForLine(filter: (line: string) => boolean): Promise<string>;
  kill(signal: NodeJS.Signals): void;
  /** Resolves with the exit code when the process has ended. */
  readonly ended: Promise<number | null>;
}

/** Starts a compiled program, such as `standins/main.js`, as a child process. */
export function startProcess(
  program: string,
  args: readonly string[],
  env: Readonly<Record<string, string>> = {},
): RunningProcess {
  const path = fileURLToPath(new URL(program, distUrl));
  const child = spawn(process.execPath, [path, ...args], {
    stdio: ['ignore', 'pipe', 'pipe'],
    env: {...process.env, ...env},
  });
  const lines: string[] = [];
  const errors: string[] = [];
  let watchers: readonly ((line: string) => void)[] = [];
  readLines(child.stdout, line => {
    lines.push(line);
    for (const watchLine of watchers) watchLine(line);
  });
  readLines(child.stderr, line => errors.push(line));
  const ended = new Promise<number | null>(resolve =>
    child.on('exit', code => resolve(code)),
  );
  return {
    child,
    lines,
    errors,
    ended,
    kill: signal => void child.kill(signal),
    waitForLine: filter =>
      new Promise((resolve, reject) => {
        const known = lines.find(filter);
        if (known !== undefined) {
          resolve(known);
          return;
        }
        const watchLine = (line: string) => {
          if (!filter(line)) return;
          watchers = watchers.filter(other => other !== watchLine);
          resolve(line);
        };
        watchers = [...watchers, watchLine];
        void ended.then(code =>
          reject(
            new Error(`${program} ended with ${code}: ${errors.join('\n')}`),
          ),
        );
      }),
  };
}

function readLines(
  stream: NodeJS.ReadableStream,
  onLine: (line: string) => void,
): void {
  let partialLine = '';
  stream.on('data', chunk => {
    const parts = (partialLine + String(chunk)).split('\n');
    partialLine = parts.pop() ?? '';
    for (const line of parts) onLine(line);
  });
}
