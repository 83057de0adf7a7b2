import {Server} from 'node:http';
import {AddressInfo} from 'node:net';
import {text} from 'node:stream/consumers';
import {asId, openSilentLogger, systemClock} from '../base/index.js';
import {emptyConfiguration} from '../config/index.js';
import {Guard, GuardCall} from '../guard/index.js';

/** A guard for one backend server whose cold start is over. */
export interface LocalGuard {
  readonly guard: Guard;
  /** Runs a call; returns the body, `broken` for an incomplete one, or `refused: REASON` or `failed: REASON`. */
  call(change?: Partial<GuardCall>): Promise<string>;
  /** Repeats a task until the server is reported as ejected; returns the reason. */
  runUntilEjected(task: () => Promise<unknown>): Promise<string>;
}

/** Makes a GET call with a deadline in 2 s. */
export function makeGuardCall(change: Partial<GuardCall> = {}): GuardCall {
  return {
    requestId: asId('r1'),
    server: asId('hisskalender-1'),
    partner: asId('verlag-a'),
    method: 'GET',
    path: '/',
    headers: {},
    body: null,
    deadline: systemClock.getTime() + 2000,
    signal: new AbortController().signal,
    mayQueue: true,
    ...change,
  };
}

/** Opens an HTTP server on a free port of the loopback interface; returns host:port. */
export async function openOnFreePort(server: Server): Promise<string> {
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Starts a guard for a backend server of a service whose typical response time is 20 ms. */
export async function startLocalGuard(backend: Server): Promise<LocalGuard> {
  const address = await openOnFreePort(backend);
  let clockOffsetMs = -100_000;
  const clock = {
    ...systemClock,
    getTime: () => systemClock.getTime() + clockOffsetMs,
  };
  const guard = new Guard(
    {
      getConfiguration: () => emptyConfiguration,
      getBaseline: () => 20,
      onReportChange: () => {},
    },
    clock,
    openSilentLogger(),
  );
  const announceServer = () =>
    guard.announce({
      server: 'hisskalender-1',
      service: 'hisskalender',
      pool: 'hisskalender',
      address,
      incarnation: 1,
      slots: 5,
      phase: 'ready',
    });
  // The report 100 s in the past starts the server's probation, which is over by now; the server is announced again
  // because that announcement has expired since.
  announceServer();
  guard.listReports();
  clockOffsetMs = 0;
  announceServer();

  const call = async (change?: Partial<GuardCall>): Promise<string> => {
    const answer = await guard.serve(makeGuardCall(change));
    if (answer.kind !== 'answer') return `${answer.kind}: ${answer.reason}`;
    return text(answer.body).catch(() => 'broken');
  };
  const runUntilEjected = async (
    task: () => Promise<unknown>,
  ): Promise<string> => {
    for (let i = 0; i < 25; i += 1) {
      await task();
      const [{health}] = guard.listReports();
      if (health.kind === 'ejected') return health.reason;
      await systemClock.sleep(50);
    }
    return 'not ejected';
  };
  return {guard, call, runUntilEjected};
}
