import {Clock, describeError, Logger, Millis, Random} from '../base/index.js';
import {LogClient, LogPage} from '../logservice/index.js';
import {Configuration} from './configuration.js';
import {ConfigState, emptyConfigState, applyRecord} from './config_state.js';
import {ConfigPeer, PeerStateClient} from './state_transfer.js';
import {configRecordCodec, RecordSigner, supportedFormat} from './record.js';
import {SnapshotStore} from './snapshot_store.js';

// Records are at most 1 MiB; a page stays within a few tens of megabytes even if all are that long.
const pageSize = 64;
const longPollTimeoutMs: Millis = 10_000;
// The log comes back to hundreds of nodes at once: each waits between half and one and a half of this.
const retryDelayMs: Millis = 1000;
const failuresPerLogLine = 60;
const holdRetryDelayMs: Millis = 2000;
/** Time that the log gets to bring a version that a peer has already. */
const peerFetchDelayMs: Millis = 1000;

/** Why this node does not fold on, though the log answers. */
export type ReplayHold =
  | {
      readonly kind: 'newer-format';
      readonly offset: number;
      readonly format: number;
    }
  | {
      readonly kind: 'gap';
      readonly next: number;
      readonly firstOffset: number;
    }
  | {
      readonly kind: 'log-behind';
      readonly next: number;
      readonly nextOffset: number;
    };

/** Text of a hold, with the remedy. */
export function describeHold(hold: ReplayHold): string {
  switch (hold.kind) {
    case 'newer-format':
      return `record ${hold.offset} has format ${hold.format}, this program folds up to ${supportedFormat}; update the program of this node`;
    case 'gap':
      return `the log retains records from ${hold.firstOffset} on, ${hold.next} is needed; a snapshot or a peer must bring the rest`;
    case 'log-behind':
      return `the log ends at ${hold.nextOffset}, ${hold.next} records are known; the stream was reset or its replica lags`;
  }
}

/** What the follower needs from the rest of the node. */
export interface ConfigFollowerOptions {
  readonly log: LogClient;
  /** The log stream of plans and confirmations. */
  readonly stream: string;
  readonly clusterKey: string;
  readonly snapshots: SnapshotStore;
  readonly peers: Pick<PeerStateClient, 'fetch' | 'fetchFrom'>;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
}

/** Keeps the fold of the configuration stream in step with the log; it never goes back. */
export class ConfigFollower {
  private readonly seal: RecordSigner;
  private state: ConfigState = emptyConfigState;
  private loaded = false;
  private hold: ReplayHold | undefined;
  private lastReadMs: Millis | undefined;
  private isFetchingFromPeer = false;
  private listeners: readonly ((config: Configuration) => void)[] = [];
  private readonly wakeups = new Set<() => void>();

  constructor(private readonly options: ConfigFollowerOptions) {
    this.seal = new RecordSigner(options.clusterKey, options.stream);
  }

  /** The configuration in force at this node. */
  getConfiguration(): Configuration {
    return this.state.config;
  }

  /** The whole fold, with plans and the outcomes of confirmations. */
  getState(): ConfigState {
    return this.state;
  }

  /** Why this node does not fold on, if so. */
  getHold(): ReplayHold | undefined {
    return this.hold;
  }

  /** Whether the configuration was loaded from the log or a peer. */
  isLoaded(): boolean {
    return this.loaded;
  }

  /** Time since the log was last read, undefined if it never was. */
  getLogAge(): Millis | undefined {
    const {clock} = this.options;
    return this.lastReadMs === undefined
      ? undefined
      : clock.getTime() - this.lastReadMs;
  }

  /** Calls the listener with each configuration that comes into force. */
  onChange(listener: (config: Configuration) => void): void {
    this.listeners = [...this.listeners, listener];
  }

  /** Loads from the log and from peers until one of them answered or the signal aborts. */
  async load(signal: AbortSignal): Promise<void> {
    const {clock, logger, random} = this.options;
    while (!signal.aborted && !this.loaded) {
      const reason = await this.loadOnce();
      if (reason === undefined) break;
      logger.error(
        {reason},
        'not serving callers: no configuration from the log or a peer; trying again',
      );
      await clock.sleep(retryDelayMs * (0.5 + random()), signal);
    }
  }

  /** One try to load; gives the reason if it failed. */
  async loadOnce(): Promise<string | undefined> {
    let reason = await this.readAll();
    const answers = await this.options.peers.fetch(this.state.next);
    let adopted = false;
    for (const answer of answers) {
      if (answer !== 'not-newer') adopted = this.merge(answer) || adopted;
    }
    // What a peer brought may close the gap before the retained records.
    if (reason !== undefined && adopted) reason = await this.readAll();
    if (reason !== undefined && answers.length === 0) return reason;
    this.loaded = true;
    return undefined;
  }

  /** Follows the log until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const {clock, logger, random} = this.options;
    let failures = 0;
    while (!signal.aborted) {
      try {
        await this.readOnce(longPollTimeoutMs, signal);
        failures = 0;
        if (!this.hold) continue;
        // A fold of a newer format is of no use to this program.
        if (this.hold.kind !== 'newer-format') await this.fetchMissing();
        await clock.sleep(holdRetryDelayMs, signal);
      } catch (error) {
        if (signal.aborted) return;
        if (failures % failuresPerLogLine === 0) {
          logger.warn({error: describeError(error)}, 'config log not read');
        }
        failures += 1;
        await clock.sleep(retryDelayMs * (0.5 + random()), signal);
      }
    }
  }

  /** Reads and folds one page; throws LogUnavailableError. */
  async readOnce(waitMs: Millis, signal?: AbortSignal): Promise<LogPage> {
    const page = await this.options.log.read(
      this.options.stream,
      this.state.next,
      pageSize,
      waitMs,
      signal,
    );
    this.lastReadMs = this.options.clock.getTime();
    this.setHold(this.applyPage(page));
    return page;
  }

  /** Reads up to the present end of the log; throws LogUnavailableError. */
  async readToEnd(): Promise<void> {
    for (;;) {
      const page = await this.readOnce(0);
      if (this.hold || this.state.next >= page.nextOffset) return;
    }
  }

  /** A peer says that it has this version: fetches it from there if the log does not bring it soon. */
  onPeerVersion(record: Omit<ConfigPeer, 'dataCentre'>, version: number): void {
    if (this.isFetchingFromPeer || !this.loaded) return;
    if (this.hold?.kind === 'newer-format') return;
    if (version <= this.state.config.version) return;
    this.isFetchingFromPeer = true;
    void this.fetchFromPeer(record, version).finally(() => {
      this.isFetchingFromPeer = false;
    });
  }

  /** Waits until the fold gives a value, or the time is over. */
  async waitFor<T>(
    find: (state: ConfigState) => T | undefined,
    timeoutMs: Millis,
  ): Promise<T | undefined> {
    const {clock} = this.options;
    const end = clock.getTime() + timeoutMs;
    for (;;) {
      const found = find(this.state);
      const leftMs = end - clock.getTime();
      if (found !== undefined || leftMs <= 0) return found;
      const changed = new AbortController();
      const wake = () => changed.abort();
      this.wakeups.add(wake);
      await clock.sleep(leftMs, changed.signal);
      this.wakeups.delete(wake);
    }
  }

  /** Takes a fold from a snapshot or a peer if it is newer; tells whether it was. */
  merge(state: ConfigState): boolean {
    const mine = this.state;
    if (state.next <= mine.next) return false;
    if (state.config.version < mine.config.version) return false;
    const isSame = state.config.version === mine.config.version;
    this.replaceState(isSame ? {...state, config: mine.config} : state);
    return true;
  }

  private async readAll(): Promise<string | undefined> {
    try {
      const snapshot = await this.options.snapshots.readNewest(this.state.next);
      if (snapshot) this.merge(snapshot);
      await this.readToEnd();
      return this.hold?.kind === 'gap' ? describeHold(this.hold) : undefined;
    } catch (error) {
      return describeError(error);
    }
  }

  private async fetchMissing(): Promise<void> {
    const {snapshots, peers} = this.options;
    const snapshot = await snapshots.readNewest(this.state.next);
    if (snapshot) this.merge(snapshot);
    for (const answer of await peers.fetch(this.state.next)) {
      if (answer !== 'not-newer') this.merge(answer);
    }
  }

  private async fetchFromPeer(
    record: Omit<ConfigPeer, 'dataCentre'>,
    version: number,
  ): Promise<void> {
    const {clock, logger, peers} = this.options;
    await clock.sleep(peerFetchDelayMs);
    if (version <= this.state.config.version) return;
    try {
      const answer = await peers.fetchFrom(record.dataAddress, this.state.next);
      if (answer !== 'not-newer') this.merge(answer);
    } catch (error) {
      logger.warn(
        {peer: record.node, error: describeError(error)},
        'newer configuration not handed over',
      );
    }
  }

  /** Folds what continues the known records; gives the reason to stop before the page's end. */
  private applyPage(page: LogPage): ReplayHold | undefined {
    let state = this.state;
    let hold: ReplayHold | undefined;
    if (page.nextOffset < state.next) {
      const {nextOffset} = page;
      return {kind: 'log-behind', next: state.next, nextOffset};
    }
    if (page.firstOffset > state.next) {
      return {kind: 'gap', next: state.next, firstOffset: page.firstOffset};
    }
    for (const {offset, value} of page.records) {
      if (offset < state.next) continue;
      if (offset > state.next) {
        hold = {kind: 'gap', next: state.next, firstOffset: offset};
        break;
      }
      const opened = this.seal.decode(configRecordCodec, value);
      if (opened.kind === 'newer') {
        hold = {kind: 'newer-format', offset, format: opened.format};
        break;
      }
      if (opened.kind === 'bad') {
        this.options.logger.warn(
          {offset, reason: opened.reason},
          'bad record skipped',
        );
      }
      state = applyRecord(state, offset, opened);
    }
    this.replaceState(state);
    return hold;
  }

  private setHold(hold: ReplayHold | undefined): void {
    if (hold && hold.kind !== this.hold?.kind) {
      const reason = describeHold(hold);
      this.options.logger.error({reason}, 'configuration does not move on');
    } else if (!hold && this.hold) {
      this.options.logger.info('configuration moves on');
    }
    this.hold = hold;
  }

  private replaceState(state: ConfigState): void {
    if (state === this.state) return;
    const before = this.state.config;
    this.state = state;
    for (const wake of [...this.wakeups]) wake();
    if (state.config === before) return;
    const {version} = state.config;
    this.options.logger.info({version}, 'configuration in force');
    for (const listener of this.listeners) listener(state.config);
  }
}
