import bunyan from 'bunyan';
import {LogOutput} from './log_output.js';

/** Structured logger that writes one JSON object per line. */
export type Logger = bunyan;

/** Levels that settings may name. */
export const logLevels = ['debug', 'info', 'warn', 'error'] as const;
export type LogLevel = (typeof logLevels)[number];

/** Opens a JSON-lines logger on standard output, which drops lines rather than block the process. */
export function openLogger(
  name: string,
  level: LogLevel,
  fields: Readonly<Record<string, unknown>> = {},
): Logger {
  return bunyan.createLogger({
    name,
    ...fields,
    streams: [
      {level, stream: new LogOutput() as unknown as NodeJS.WritableStream},
    ],
  });
}

/** A logger that writes nothing, for tests. */
export function openSilentLogger(): Logger {
  return bunyan.createLogger({name: 'silent', streams: []});
}
