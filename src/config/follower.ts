import {Clock, describeError, Logger, Millis, Random} from '../base/index.js';
import {LogClient, LogPage} from '../logservice/index.js';
import {Configuration} from './configuration.js';
import {ConfigState, emptyConfigState, applyRecord} from './config_state.js';
import {ConfigPeer, PeerStateClient} from './state_transfer.js';
import {configRecordCodec, RecordSigner, supportedFormat} from './record.js';
import {SnapshotStore} from './snapshot_store.js';

// The text of a record is at most 1 MiB, so the records of a page have at most 64 MiB of text.
const pageSize = 64;
const longPollTimeoutMs: Millis = 10_000;
// Hundreds of nodes reconnect when the log recovers, so each waits a random time from half to one and a half of this.
const retryDelayMs: Millis = 1000;
const failuresPerLogLine = 60;
const holdRetryDelayMs: Millis = 2000;
/** How long to wait for the log to deliver a version before it is fetched from the peer that has it. */
const peerFetchDelayMs: Millis = 1000;

/** Why this node cannot apply further records although the log is readable. */
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

/** Describes a hold and its remedy. */
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

/** Dependencies of a configuration follower. */
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

/** Follows the configuration stream and keeps the state up to date; the state never returns to an older version. */
export class ConfigFollower {
  private readonly signer: RecordSigner;
  private state: ConfigState = emptyConfigState;
  private loaded = false;
  private hold: ReplayHold | undefined;
  private lastReadMs: Millis | undefined;
  private isFetchingFromPeer = false;
  private listeners: readonly ((config: Configuration) => void)[] = [];
  private readonly wakeups = new Set<() => void>();

  constructor(private readonly options: ConfigFollowerOptions) {
    this.signer = new RecordSigner(options.clusterKey, options.stream);
  }

  /** The configuration in force at this node. */
  getConfiguration(): Configuration {
    return this.state.config;
  }

  /** The whole state, including plans and the outcomes of confirmations. */
  getState(): ConfigState {
    return this.state;
  }

  /** Why replay is on hold; undefined if it is not. */
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

  /** Registers a listener that is called with each new configuration in force. */
  onChange(listener: (config: Configuration) => void): void {
    this.listeners = [...this.listeners, listener];
  }

  /** Retries loading from the log and from peers until one of them responds or the signal aborts. */
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

  /** Attempts to load once; returns the reason if that failed. */
  async loadOnce(): Promise<string | undefined> {
    let reason = await this.readAll();
    const replies = await this.options.peers.fetch(this.state.next);
    let adopted = false;
    for (const reply of replies) {
      if (reply !== 'not-newer') adopted = this.merge(reply) || adopted;
    }
    // The state of a peer may cover the gap before the records that the log retains.
    if (reason !== undefined && adopted) reason = await this.readAll();
    if (reason !== undefined && replies.length === 0) return reason;
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
        // This program cannot use state of a newer format either.
        if (this.hold.kind !== 'newer-format') await this.fetchMissing();
        await clock.sleep(holdRetryDelayMs, signal);
      } catch (error) {
        if (signal.aborted) return;
        if (failures % failuresPerLogLine === 0) {
          logger.warn(
            {error: describeError(error)},
            'failed to read the configuration log',
          );
        }
        failures += 1;
        await clock.sleep(retryDelayMs * (0.5 + random()), signal);
      }
    }
  }

  /** Reads and applies one page; throws LogUnavailableError. */
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

  /** Reads to the current end of the log; throws LogUnavailableError. */
  async readToEnd(): Promise<void> {
    for (;;) {
      const page = await this.readOnce(0);
      if (this.hold || this.state.next >= page.nextOffset) return;
    }
  }

  /** Handles a version reported by a peer: fetches it from that peer if the log does not deliver it soon. */
  onPeerVersion(peer: Omit<ConfigPeer, 'dataCentre'>, version: number): void {
    if (this.isFetchingFromPeer || !this.loaded) return;
    if (this.hold?.kind === 'newer-format') return;
    if (version <= this.state.config.version) return;
    this.isFetchingFromPeer = true;
    void this.fetchFromPeer(peer, version).finally(() => {
      this.isFetchingFromPeer = false;
    });
  }

  /** Waits until `find` returns a value for the state, or until the timeout. */
  async waitFor<T>(
    find: (state: ConfigState) => T | undefined,
    timeoutMs: Millis,
  ): Promise<T | undefined> {
    const {clock} = this.options;
    const deadline = clock.getTime() + timeoutMs;
    for (;;) {
      const found = find(this.state);
      const remainingMs = deadline - clock.getTime();
      if (found !== undefined || remainingMs <= 0) return found;
      const changed = new AbortController();
      const wake = () => changed.abort();
      this.wakeups.add(wake);
      await clock.sleep(remainingMs, changed.signal);
      this.wakeups.delete(wake);
    }
  }

  /** Adopts the state of a snapshot or a peer if it is newer; returns whether it was. */
  merge(state: ConfigState): boolean {
    const current = this.state;
    if (state.next <= current.next) return false;
    if (state.config.version < current.config.version) return false;
    const isSameVersion = state.config.version === current.config.version;
    this.replaceState(
      isSameVersion ? {...state, config: current.config} : state,
    );
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
    for (const reply of await peers.fetch(this.state.next)) {
      if (reply !== 'not-newer') this.merge(reply);
    }
  }

  private async fetchFromPeer(
    peer: Omit<ConfigPeer, 'dataCentre'>,
    version: number,
  ): Promise<void> {
    const {clock, logger, peers} = this.options;
    await clock.sleep(peerFetchDelayMs);
    if (version <= this.state.config.version) return;
    try {
      const reply = await peers.fetchFrom(peer.dataAddress, this.state.next);
      if (reply !== 'not-newer') this.merge(reply);
    } catch (error) {
      logger.warn(
        {peer: peer.node, error: describeError(error)},
        'failed to fetch a newer configuration from a peer',
      );
    }
  }

  /** Applies the records that follow the applied ones; returns the reason if it stopped before the end of the page. */
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
      const decoded = this.signer.decode(configRecordCodec, value);
      if (decoded.kind === 'newer') {
        hold = {kind: 'newer-format', offset, format: decoded.format};
        break;
      }
      if (decoded.kind === 'bad') {
        this.options.logger.warn(
          {offset, reason: decoded.reason},
          'skipped a bad record',
        );
      }
      state = applyRecord(state, offset, decoded);
    }
    this.replaceState(state);
    return hold;
  }

  private setHold(hold: ReplayHold | undefined): void {
    if (hold && hold.kind !== this.hold?.kind) {
      const reason = describeHold(hold);
      this.options.logger.error({reason}, 'configuration replay is on hold');
    } else if (!hold && this.hold) {
      this.options.logger.info('configuration replay resumed');
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
