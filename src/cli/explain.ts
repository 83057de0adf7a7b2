import {LogExtract, LogLine, readLogs} from './log_reader.js';

/** Time before the first line of a request in which news of its guards is shown. */
const beliefLeadMs = 5000;
/** Messages by which a node says that what it believes has changed. */
const beliefMessages: ReadonlySet<string> = new Set([
  'guard state',
  'peer guard',
  'peer linked',
  'peer link lost',
  'peer silent; link ended',
  'backend server report',
  'backend server said goodbye',
  'configuration in force',
  'platform store lost; going on as it was',
  'platform store reached again',
  'starting',
  'ready',
  'stopping',
  'stopped',
]);

/** Reads the path of one request: its own lines, and what the nodes that it met came to believe meanwhile. */
export async function readRequestTrace(
  requestId: string,
  files: readonly string[],
): Promise<LogExtract> {
  const own = await readLogs(
    files,
    ({fields}) => fields.requestId === requestId,
  );
  if (own.lines.length === 0) return own;
  const nodes = new Set(
    own.lines.flatMap(({node, fields}) => [
      node,
      ...(typeof fields.guard === 'string' ? [fields.guard] : []),
    ]),
  );
  const from = Date.parse(own.lines[0].time) - beliefLeadMs;
  const until = Date.parse(own.lines[own.lines.length - 1].time);
  const beliefs = await readLogs(files, ({time, node, msg, fields}) => {
    const at = Date.parse(time);
    const {peer} = fields;
    return (
      beliefMessages.has(msg) &&
      nodes.has(node) &&
      (typeof peer !== 'string' || nodes.has(peer)) &&
      at >= from &&
      at <= until
    );
  });
  const lines = [...own.lines, ...beliefs.lines].sort((a, b) =>
    a.time.localeCompare(b.time),
  );
  return {lines, malformed: own.malformed};
}

/** Reads what one node came to believe until a point in time; the newest line of each subject. */
export async function readNodeState(
  node: string,
  until: string | undefined,
  files: readonly string[],
): Promise<LogExtract> {
  const {lines, malformed} = await readLogs(
    files,
    line =>
      line.node === node &&
      beliefMessages.has(line.msg) &&
      (until === undefined || line.time <= until),
  );
  const newest = new Map<string, LogLine>();
  for (const line of lines) {
    const subject = String(line.fields.peer ?? '');
    newest.set(`${line.msg} ${subject}`, line);
  }
  const kept = [...newest.values()].sort((a, b) =>
    a.time.localeCompare(b.time),
  );
  return {lines: kept, malformed};
}

/** Renders lines for people, one decision a line. */
export function renderLogExtract({lines, malformed}: LogExtract): string {
  if (lines.length === 0) return 'no line found; check the id and the files';
  const rows = lines.map(({time, node, msg, fields}) => {
    const details = Object.entries(fields)
      .filter(([name]) => name !== 'requestId')
      .map(([name, value]) => `${name}=${JSON.stringify(value)}`);
    return `${time}  ${node}  ${msg}  ${details.join(' ')}`;
  });
  if (malformed > 0) rows.push(`${malformed} lines could not be read`);
  return rows.join('\n');
}
