import test from 'ava';
import bunyan from 'bunyan';
import {ManualClock, BatchingLogger} from '../../src/base/index.js';

// Guards against one log line for each of the hundreds of events that a fault causes on every node.
test('events within half a second share one line', async t => {
  const lines: string[] = [];
  const stream = {write: (line: string) => lines.push(line)};
  const logger = bunyan.createLogger({
    name: 'test',
    stream: stream as unknown as NodeJS.WritableStream,
  });
  const clock = new ManualClock();
  const log = new BatchingLogger(clock, logger);
  for (let peer = 0; peer < 3; peer += 1) {
    log.record('peer linked', {peer});
    await clock.advance(100);
  }
  await clock.advance(500);
  t.is(lines.length, 1);
  const {news} = JSON.parse(lines[0]) as {news: {agoMs: number}[]};
  t.deepEqual(
    news.map(({agoMs}) => agoMs),
    [500, 400, 300],
  );
  for (let peer = 0; peer < 450; peer += 1) log.record('peer linked', {peer});
  t.is(lines.length, 3, 'a line is written early after 200 events');
});
