import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import test from 'ava';
import {
  readNodeState,
  readRequestTrace,
  renderLogExtract,
} from '../../src/cli/explain.js';

// Guards against log extracts that do not show why a request failed or what a node knew at a point in time: extracts
// without the state of the guard that handled the request, without the lines beside a truncated one, with a line from
// after the requested time, or with the events of a batched line at the time when the line was written.

/** Writes a log file. Each line is given as its time in seconds, message and fields. */
function writeLog(
  node: string,
  lines: readonly (readonly [number, string, object])[],
  trailingText = '',
): string {
  const file = join(mkdtempSync(join(tmpdir(), 'explain-')), `${node}.log`);
  const text = lines.map(([second, msg, fields]) => {
    const time = new Date(second * 1000).toISOString();
    return JSON.stringify({name: 'f', node, msg, time, v: 0, ...fields});
  });
  writeFileSync(file, `${text.join('\n')}\n${trailingText}`);
  return file;
}

const requestId = 'r1';

test('the trace of a request names the server that failed it and the state of its guard', async t => {
  const entry = writeLog('n1', [
    [9, 'request placed', {requestId: 'other', guard: 'n3'}],
    [10, 'request placed', {requestId, guard: 'n2', attempt: 1}],
    [12, 'request ended', {requestId, result: 'timeout'}],
  ]);
  const guard = writeLog('n2', [
    [1, 'guard state', {state: {verdict: 'sound'}}],
    [11, 'guard state', {state: {verdict: 'suspended'}}],
    [12, 'run ended', {requestId, server: 's2', outcome: 'broken'}],
  ]);
  const {lines} = await readRequestTrace(requestId, [entry, guard]);
  t.deepEqual(
    lines.map(({msg}) => msg),
    ['request placed', 'guard state', 'request ended', 'run ended'],
  );
  t.regex(renderLogExtract({lines, malformed: 0}), /server="s2"/);
});

test('malformed lines are counted and hide no other line', async t => {
  const file = writeLog(
    'n1',
    [[10, 'request ended', {requestId, result: 'busy'}]],
    '{"cut',
  );
  const {lines, malformed} = await readRequestTrace(requestId, [file]);
  t.is(lines.length, 1);
  t.is(malformed, 1);
});

test('the state of a node has the newest line of each subject at the requested time', async t => {
  const file = writeLog('n1', [
    [1, 'peer guard', {peer: 'n2', guard: {verdict: 'sound'}}],
    [2, 'peer guard', {peer: 'n2', guard: {verdict: 'suspended'}}],
    [3, 'peer guard', {peer: 'n2', guard: {verdict: 'doubtful'}}],
  ]);
  const at = new Date(2500).toISOString();
  const {lines} = await readNodeState('n1', at, [file]);
  t.is(lines.length, 1);
  t.deepEqual(lines[0].fields.guard, {verdict: 'suspended'});
});

test('events batched in one line are separate state changes, each at its own time', async t => {
  const news = [
    {agoMs: 400, msg: 'peer guard', peer: 'n2', guard: {verdict: 'sound'}},
    {agoMs: 100, msg: 'peer guard', peer: 'n2', guard: {verdict: 'suspended'}},
    {agoMs: 50, msg: 'peer linked', peer: 'n3'},
  ];
  const file = writeLog('n1', [[10, 'news', {news}]]);
  const until = new Date(9700).toISOString();
  const {lines} = await readNodeState('n1', until, [file]);
  t.deepEqual(
    lines.map(({time, fields}) => [time, fields.guard]),
    [[new Date(9600).toISOString(), {verdict: 'sound'}]],
  );
  t.is((await readNodeState('n1', undefined, [file])).lines.length, 2);
});
