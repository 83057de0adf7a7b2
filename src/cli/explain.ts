import {LogExtract, LogLine, readLogs} from './log_reader.js';

/** State changes are shown from this time before the first line of a request. */
const stateLeadMs = 5000;
/** Messages that report a change of the state that a node holds about itself or others. */
const stateMessages: ReadonlySet<string> = new Set([
  'guard state',
  'peer guard',
  'peer linked',
  'peer link lost',
  'peer silent; link ended',
  'backend server report',
  'backend server deregistered',
  'backend server replaced by the settings',
  'departure not acknowledged: not stored yet',
  'backend server leaves',
  'server limit',
  'configuration in force',
  'platform store lost; going on as it was',
  'platform store reached again',
  'starting',
  'ready',
  'stopping',
  'stopped',
]);

/** Reads the trace of one request: its own lines, and the state changes at the nodes that handled it. */
export async function readRequestTrace(
  requestId: string,
  files: readonly string[],
): Promise<LogExtract> {
  const requestLog = await readLogs(
    files,
    ({fields}) => fields.requestId === requestId,
  );
  if (requestLog.lines.length === 0) return requestLog;
  const nodes = new Set(
    requestLog.lines.flatMap(({node, fields}) => [
      node,
      ...(typeof fields.guard === 'string' ? [fields.guard] : []),
    ]),
  );
  const from = Date.parse(requestLog.lines[0].time) - stateLeadMs;
  const until = Date.parse(requestLog.lines[requestLog.lines.length - 1].time);
  const stateLog = await readLogs(files, ({time, node, msg, fields}) => {
    const at = Date.parse(time);
    const {peer} = fields;
    return (
      stateMessages.has(msg) &&
      nodes.has(node) &&
      (typeof peer !== 'string' || nodes.has(peer)) &&
      at >= from &&
      at <= until
    );
  });
  const lines = [...requestLog.lines, ...stateLog.lines].sort((a, b) =>
    a.time.localeCompare(b.time),
  );
  return {lines, malformed: requestLog.malformed};
}

/** Reads the state of one node at a point in time: its newest line of each message and peer. */
export async function readNodeState(
  node: string,
  until: string | undefined,
  files: readonly string[],
): Promise<LogExtract> {
  const {lines, malformed} = await readLogs(
    files,
    line =>
      line.node === node &&
      stateMessages.has(line.msg) &&
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

/** Renders log lines as text, one line each. */
export function renderLogExtract({lines, malformed}: LogExtract): string {
  if (lines.length === 0) return 'no matching line; check the id and the files';
  const rows = lines.map(({time, node, msg, fields}) => {
    const details = Object.entries(fields)
      .filter(([name]) => name !== 'requestId')
      .map(([name, value]) => `${name}=${JSON.stringify(value)}`);
    return `${time}  ${node}  ${msg}  ${details.join(' ')}`;
  });
  if (malformed > 0) rows.push(`${malformed} lines could not be read`);
  return rows.join('\n');
}
