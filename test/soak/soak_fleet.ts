import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {makeRandom, Millis, systemClock} from '../../src/base/index.js';
import {openRelay, Relay} from '../../src/standins/index.js';
import {StoreMode, StoreStandIn} from '../platform/store_standin.js';
import {makeConfig, makeGrownConfig} from '../platform/test_fleet.js';
import {SoakLoadGenerator} from './load_generator.js';
import {Fault} from './fault_plan.js';
import {SoakObservations} from './guarantees.js';
import {makeLoopbackHost, ObservationLog, SoakVm} from './vm.js';

const maxExtraDelayMs: Millis = 250;
const lagCheckPeriodMs: Millis = 50;
/** Time in which the nodes discover each other's backend servers. */
const discoveryMs: Millis = 1500;
/** Time after the last fault in which nodes reconnect and re-evaluate the health of their servers. */
const recoveryMs: Millis = 6000;
const finalLoadMs: Millis = 2000;
const finalRequestPeriodMs: Millis = 250;
const ratePerSecond = 8;

/** Size and addresses of a fleet of real processes. */
export interface SoakFleetOptions {
  readonly seed: number;
  readonly nodes: number;
  /** First of eight ports, which are used on one loopback address per VM. */
  readonly basePort: number;
}

/** A fleet of real processes, with stand-ins for the store and the backend servers and load generators as callers. */
export class SoakFleet {
  private readonly store = new StoreStandIn();
  private readonly observations: ObservationLog = {
    runs: [],
    spans: [],
    leaves: [],
    processorWaits: [],
    processFaults: [],
  };
  private readonly stopping = new AbortController();
  readonly vms: SoakVm[] = [];
  readonly loadGenerators: SoakLoadGenerator[] = [];
  private storeRelay!: Relay;
  private configVersion = 1;
  private lagMs: Millis = 0;

  constructor(
    private readonly options: SoakFleetOptions,
    readonly folder = mkdtempSync(join(tmpdir(), `soak-${options.seed}-`)),
  ) {}

  async start(): Promise<void> {
    const {nodes, basePort, seed} = this.options;
    const target = new URL(await this.store.start()).host;
    this.store.writeConfig(makeConfig(this.configVersion));
    this.storeRelay = await openRelay({
      address: makeLoopbackHost(basePort, 250),
      port: basePort,
      target,
    });
    for (let index = 0; index < nodes; index += 1) {
      const vm = new SoakVm(
        index,
        basePort,
        this.folder,
        this.storeRelay.address,
        this.observations,
      );
      this.vms.push(vm);
      this.loadGenerators.push(
        new SoakLoadGenerator(index, vm.callerOrigin, seed * 100 + index),
      );
    }
    await Promise.all(this.vms.map(vm => vm.start()));
    for (const vm of this.vms) void vm.runHeartbeats(this.stopping.signal);
    void this.watchEventLoopLag();
    await systemClock.sleep(discoveryMs);
  }

  async run(plan: readonly Fault[]): Promise<SoakObservations> {
    const stop = new AbortController();
    const loadRuns = this.loadGenerators.map(generator =>
      generator.run(ratePerSecond, stop.signal),
    );
    const start = systemClock.getTime();
    const random = makeRandom(this.options.seed + 1);
    await Promise.all(
      plan.map(async fault => {
        const delayMs = 20 + random() * maxExtraDelayMs;
        await systemClock.sleep(start + fault.atMs - systemClock.getTime());
        await this.applyFault(fault, delayMs);
      }),
    );
    await systemClock.sleep(recoveryMs);
    stop.abort();
    await Promise.all(loadRuns);
    const countsBefore = this.loadGenerators.map(({records}) => records.length);
    const path = this.configVersion > 1 ? `/v${this.configVersion}/` : '/safe/';
    const end = systemClock.getTime() + finalLoadMs;
    while (systemClock.getTime() < end) {
      for (const generator of this.loadGenerators)
        generator.startRequest(path, false);
      await systemClock.sleep(finalRequestPeriodMs);
    }
    await Promise.all(
      this.loadGenerators.map(generator => generator.waitForAll()),
    );
    return {
      ...this.observations,
      requests: this.loadGenerators.flatMap(({records}, index) =>
        records.slice(0, countsBefore[index]),
      ),
      finalRequests: this.loadGenerators.flatMap(({records}, index) =>
        records.slice(countsBefore[index]),
      ),
      lagMs: this.lagMs,
    };
  }

  /** Writes the logs of all nodes to files; returns their paths. */
  writeLogs(): readonly string[] {
    return this.vms.map(vm => {
      const path = join(this.folder, `n${vm.index}.log`);
      writeFileSync(path, vm.listLogLines().join('\n'));
      return path;
    });
  }

  removeFolder(): void {
    rmSync(this.folder, {recursive: true});
  }

  async stop(): Promise<void> {
    this.stopping.abort();
    await Promise.all(this.vms.map(vm => vm.close()));
    await Promise.all(this.loadGenerators.map(callers => callers.close()));
    this.storeRelay.close();
    this.store.stop();
  }

  private async applyFault(fault: Fault, delayMs: Millis): Promise<void> {
    const {kind, forMs, node} = fault;
    const vm = this.vms[node];
    switch (kind) {
      case 'node-term':
        return vm.restart('SIGTERM', forMs);
      case 'node-kill':
        return vm.restart('SIGKILL', forMs);
      case 'node-pause':
        return vm.freezeFor(forMs);
      case 'node-reload':
        return vm.updateSettings();
      case 'link-delay':
        return vm.setLinkDelay(delayMs, forMs);
      case 'link-reset':
        return vm.resetLinks();
      case 'link-cut-in':
        return vm.cutLinks({request: true, reply: false}, forMs);
      case 'link-cut-out':
        return vm.cutLinks({request: false, reply: true}, forMs);
      case 'link-silence':
        return vm.cutLinks({request: true, reply: true}, forMs);
      case 'store-down':
        return this.setStoreMode('down', forMs);
      case 'store-busy':
        return this.setStoreMode('busy', forMs);
      case 'store-silent':
        return this.setStoreMode('silent', forMs);
      case 'store-lose-answers':
        return this.setStoreMode('lose-answers', forMs);
      case 'store-history-lost':
        return this.store.removeHistory();
      case 'store-delay': {
        this.storeRelay.setDelay(delayMs);
        await systemClock.sleep(forMs);
        return this.storeRelay.setDelay(0);
      }
      case 'backend-hang':
        return vm.setBackendMode('hang', forMs);
      case 'backend-error':
        return vm.setBackendMode('error', forMs);
      case 'backend-shed':
        return vm.setBackendMode('shed', forMs);
      case 'backend-cut-body':
        return vm.setBackendMode('cut-body', forMs);
      case 'backend-slow':
        return vm.setBackendSlow(forMs);
      case 'backend-drop-idle':
        return vm.backend.closeIdle();
      case 'backend-reset':
        return vm.resetBackend();
      case 'backend-restart':
        return vm.restartBackend(forMs);
      case 'backend-drain':
        return vm.drainBackend(forMs);
      case 'new-version':
        return this.writeNextConfig();
    }
  }

  private async setStoreMode(mode: StoreMode, forMs: Millis): Promise<void> {
    this.store.mode = mode;
    await systemClock.sleep(forMs);
    this.store.mode = 'ok';
  }

  /** Writes the next version of the configuration to the store. */
  private writeNextConfig(): void {
    this.configVersion += 1;
    this.store.writeConfig(makeGrownConfig(this.configVersion));
  }

  private async watchEventLoopLag(): Promise<void> {
    while (!this.stopping.signal.aborted) {
      const due = systemClock.getTime() + lagCheckPeriodMs;
      await systemClock.sleep(lagCheckPeriodMs, this.stopping.signal);
      for (const vm of this.vms) vm.recordProcessorWait();
      this.lagMs = Math.max(this.lagMs, systemClock.getTime() - due);
    }
  }
}
