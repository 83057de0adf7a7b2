import {createReadStream} from 'node:fs';
import {createInterface} from 'node:readline';

/** One line of a node's log. */
export interface LogLine {
  readonly time: string;
  readonly node: string;
  readonly msg: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Matching lines of some files in order of time, and the number of lines that could not be parsed. */
export interface LogExtract {
  readonly lines: readonly LogLine[];
  readonly malformed: number;
}

/** Fields common to all lines, which carry no details of a decision. */
const commonFields: ReadonlySet<string> = new Set([
  'name',
  'hostname',
  'pid',
  'level',
  'node',
  'msg',
  'time',
  'v',
]);

/** Parses one line, skipping any prefix before the first brace; undefined if it is not a line of a node's log. */
export function parseLogLine(text: string): LogLine | undefined {
  const start = text.indexOf('{');
  if (start < 0) return undefined;
  try {
    const value = JSON.parse(text.slice(start)) as Record<string, unknown>;
    const {time, node, msg} = value;
    if (typeof time !== 'string' || typeof msg !== 'string') return undefined;
    const fields = Object.fromEntries(
      Object.entries(value).filter(([name]) => !commonFields.has(name)),
    );
    return {time, node: String(node ?? '?'), msg, fields};
  } catch {
    return undefined;
  }
}

/** Splits a line that batches several events into one line per event; returns any other line as it is. */
export function splitBatch(line: LogLine): readonly LogLine[] {
  const {news} = line.fields;
  if (line.msg !== 'news' || !Array.isArray(news)) return [line];
  const writtenAt = Date.parse(line.time);
  return news.map(item => {
    const {agoMs, msg, ...fields} = item as Record<string, unknown>;
    const time = new Date(writtenAt - Number(agoMs ?? 0)).toISOString();
    return {time, node: line.node, msg: String(msg), fields};
  });
}

/** Streams files and keeps the lines that match. Throws if a file cannot be read. */
export async function readLogs(
  files: readonly string[],
  isWanted: (line: LogLine) => boolean,
): Promise<LogExtract> {
  const lines: LogLine[] = [];
  let malformed = 0;
  for (const file of files) {
    const reader = createInterface({input: createReadStream(file)});
    for await (const text of reader) {
      const line = parseLogLine(text);
      if (!line) malformed += text.trim() === '' ? 0 : 1;
      else lines.push(...splitBatch(line).filter(isWanted));
    }
  }
  lines.sort((a, b) => a.time.localeCompare(b.time));
  return {lines, malformed};
}
