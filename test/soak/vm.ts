import {readFileSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {Millis, systemClock} from '../../src/base/index.js';
import {Cut, openRelay, Relay} from '../../src/standins/index.js';
import {RunningProcess, startProcess} from '../../src/testing/index.js';
import {BackendStandIn} from '../platform/backend_standin.js';
import {renderNodeSettings} from '../platform/settings_text.js';
import {
  makeResponseBody,
  NodeDisruption,
  ProcessorWait,
  AcknowledgedDrain,
  ObservedRun,
} from './guarantees.js';

const announceMs: Millis = 500;
const workMs: Millis = 60;
const slowMs: Millis = 1500;
/** Time from the signal to stop in which the process must end. */
export const stopTimeoutS = 4;
const stopSlackMs: Millis = 500;
const MS_PER_S = 1000;
const NS_PER_MS = 1_000_000;
/** Shorter waits for a processor between two looks are not kept. */
const shortWaitMs: Millis = 5;

/** Address of a fleet's own network, since the port for metrics is the same on all VMs of all fleets. */
export function makeLoopbackHost(basePort: number, host: number): string {
  return `127.4.${Math.floor(basePort / 10) % 250}.${host}`;
}

/** What a VM writes down; shared by all VMs of a run. */
export interface ObservationLog {
  readonly runs: ObservedRun[];
  readonly spans: NodeDisruption[];
  readonly leaves: AcknowledgedDrain[];
  readonly processorWaits: ProcessorWait[];
  readonly processFaults: string[];
}

/** One VM of the soak: the real process of its node, a backend server, and relays before both. */
export class SoakVm {
  backend!: BackendStandIn;
  private process!: RunningProcess;
  private links!: Relay;
  private toBackend!: Relay;
  private backendState: 'ready' | 'draining' = 'ready';
  private backends = 0;
  private isEnding = false;
  private goneAt: Millis = 0;
  private waitedNs = 0;
  private readonly lines: string[] = [];

  constructor(
    readonly index: number,
    private readonly basePort: number,
    private readonly folder: string,
    private readonly storeAddress: string,
    private readonly log: ObservationLog,
  ) {}

  get host(): string {
    return makeLoopbackHost(this.basePort, this.index + 1);
  }

  get callerOrigin(): string {
    return `http://${this.host}:${this.basePort + 1}`;
  }

  /** Lines that the processes of this node have logged. */
  listLogLines(): readonly string[] {
    return [...this.lines, ...this.process.lines];
  }

  /** Stops or goes on reading what the node writes to standard output. */
  setLogPaused(isHeld: boolean): void {
    const {stdout} = this.process.child;
    if (isHeld) stdout?.pause();
    else stdout?.resume();
  }

  async start(): Promise<void> {
    const {host, basePort} = this;
    this.links = await openRelay({
      address: host,
      port: basePort + 6,
      target: `${host}:${basePort + 4}`,
    });
    this.toBackend = await openRelay({
      address: host,
      port: basePort,
      target: `${host}:${basePort + 7}`,
    });
    await this.startBackend();
    this.startNode();
    await this.waitUntilReady();
  }

  /** Sends the heartbeats of the backend server until the signal aborts. */
  async runHeartbeats(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.announce();
      await systemClock.sleep(announceMs, signal);
    }
  }

  /** Notes how long the node has waited for a processor since the last look. */
  recordProcessorWait(): void {
    const {index, process} = this;
    let waitedNs: number;
    try {
      const text = readFileSync(`/proc/${process.child.pid}/schedstat`, 'utf8');
      waitedNs = Number(text.split(' ')[1]);
    } catch {
      // The process has ended; the next one starts to count anew.
      this.waitedNs = 0;
      return;
    }
    const waitedMs = (waitedNs - this.waitedNs) / NS_PER_MS;
    this.waitedNs = waitedNs;
    if (waitedMs < shortWaitMs) return;
    this.log.processorWaits.push({
      node: index,
      atMs: systemClock.getTime(),
      waitedMs,
    });
  }

  /** Stops the node by a signal and starts it again after a pause. */
  async restart(signal: 'SIGTERM' | 'SIGKILL', pauseMs: Millis): Promise<void> {
    if (this.isEnding) return;
    this.isEnding = true;
    const {process, index} = this;
    const fromMs = systemClock.getTime();
    process.kill('SIGCONT');
    process.kill(signal);
    const graceMs = stopTimeoutS * MS_PER_S + stopSlackMs;
    const end = await Promise.race([
      process.ended,
      systemClock.sleep(graceMs).then(() => 'late' as const),
    ]);
    if (end === 'late') {
      this.log.processFaults.push(`node ${index} did not end in ${graceMs} ms`);
      process.kill('SIGKILL');
      await process.ended;
    }
    this.goneAt = systemClock.getTime();
    const kind = signal === 'SIGTERM' ? 'stopping' : 'killed';
    this.log.spans.push({node: index, kind, fromMs, untilMs: this.goneAt});
    await systemClock.sleep(pauseMs);
    this.lines.push(...process.lines);
    this.startNode();
    await this.waitUntilReady();
    this.isEnding = false;
    const untilMs = systemClock.getTime();
    this.log.spans.push({
      node: index,
      kind: 'gone',
      fromMs: this.goneAt,
      untilMs,
    });
  }

  async freezeFor(forMs: Millis): Promise<void> {
    if (this.isEnding) return;
    const fromMs = systemClock.getTime();
    const {process} = this;
    process.kill('SIGSTOP');
    await systemClock.sleep(forMs);
    process.kill('SIGCONT');
    const untilMs = systemClock.getTime();
    this.log.spans.push({node: this.index, kind: 'paused', fromMs, untilMs});
  }

  updateSettings(): void {
    if (!this.isEnding) this.process.kill('SIGHUP');
  }

  async cutLinks(cut: Omit<Cut, 'source'>, forMs: Millis): Promise<void> {
    this.links.setCuts([{source: '*', ...cut}]);
    await systemClock.sleep(forMs);
    this.links.setCuts([]);
  }

  async setLinkDelay(delayMs: Millis, forMs: Millis): Promise<void> {
    this.links.setDelay(delayMs);
    await systemClock.sleep(forMs);
    this.links.setDelay(0);
  }

  resetLinks(): void {
    this.links.reset();
  }

  resetBackend(): void {
    this.toBackend.reset();
  }

  async setBackendMode(
    mode: BackendStandIn['mode'],
    forMs: Millis,
  ): Promise<void> {
    const {backend} = this;
    backend.mode = mode;
    await systemClock.sleep(forMs);
    backend.mode = 'good';
  }

  async setBackendSlow(forMs: Millis): Promise<void> {
    const {backend} = this;
    backend.workMs = slowMs;
    await systemClock.sleep(forMs);
    backend.workMs = workMs;
  }

  /** Ends the backend server without notice; another one with a new id takes its address. */
  async restartBackend(pauseMs: Millis): Promise<void> {
    this.backend.stop();
    await systemClock.sleep(pauseMs);
    await this.startBackend();
  }

  /** Lets the backend server say that it leaves, and replaces it. */
  async drainBackend(forMs: Millis): Promise<void> {
    if (this.backendState === 'draining') return;
    this.backendState = 'draining';
    await systemClock.sleep(forMs + workMs);
    this.backendState = 'ready';
    await this.restartBackend(0);
  }

  async close(): Promise<void> {
    this.isEnding = true;
    this.process.kill('SIGCONT');
    this.process.kill('SIGKILL');
    await this.process.ended;
    this.backend.stop();
    this.links.close();
    this.toBackend.close();
  }

  private startNode(): void {
    const {index, host, basePort} = this;
    const path = join(this.folder, `n${index}.toml`);
    writeFileSync(
      path,
      renderNodeSettings({
        node: `n${index}`,
        host,
        basePort,
        dataCentre: `z${index % 2}`,
        service: 'bench',
        storeAddress: this.storeAddress,
        graceS: stopTimeoutS,
      }),
    );
    const linkAddress = `${host}:${basePort + 6}`;
    const process = startProcess('sidecar/main.js', [
      '--config',
      path,
      '--link-address',
      linkAddress,
    ]);
    this.process = process;
    void process.ended.then(code => {
      if (this.isEnding) return;
      this.log.processFaults.push(
        `node ${index} ended by itself with ${code}: ${process.errors.join(' ')}`,
      );
    });
  }

  private async waitUntilReady(): Promise<void> {
    await this.process.waitForLine(line => line.includes('"msg":"ready"'));
  }

  private async startBackend(): Promise<void> {
    const {host, basePort, index} = this;
    this.backends += 1;
    const server = `s${index}-${this.backends}`;
    const backend = new BackendStandIn(
      server,
      'bench',
      host,
      basePort + 7,
      `http://${host}:${basePort + 3}`,
    );
    backend.announcedPort = basePort;
    backend.workMs = workMs;
    backend.makeBody = makeResponseBody;
    backend.onRun = ({method = '', url = ''}, id) =>
      this.log.runs.push({
        id,
        server,
        node: index,
        method,
        path: url,
        atMs: systemClock.getTime(),
      });
    await backend.start();
    this.backend = backend;
  }

  private async announce(): Promise<void> {
    const {backend, backendState} = this;
    try {
      const status = await backend.announce(backendState);
      const isKnown = this.log.leaves.some(({server}) => server === backend.id);
      if (status === 200 && backendState === 'draining' && !isKnown) {
        this.log.leaves.push({
          server: backend.id,
          node: this.index,
          ackedAt: systemClock.getTime(),
        });
      }
    } catch {
      // The node is down or paused; the next heartbeat tries again.
    }
  }
}
