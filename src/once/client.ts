import {
  asId,
  Clock,
  describeError,
  LogUnavailableError,
  Logger,
  Millis,
  NodeId,
} from '../base/index.js';
import {NodeCallClient} from '../nodecalls/index.js';
import {
  ArbiterNode,
  ResolutionResponse,
  KeyArbiter,
  keyCallNames,
  KeySettings,
  rankArbiters,
} from './arbiter.js';
import {ResolutionSender} from './resolution_sender.js';
import {ClaimResponse, ClaimRequest} from './partition.js';
import {
  ClaimResolution,
  getKeyStream,
  KeyId,
  KeyOutcome,
  makeClaimId,
  RequestFingerprint,
} from './record.js';

/** Local arbiter, node calls and roster access that the node provides to its client. */
export interface KeyClientContext extends KeySettings {
  readonly node: NodeId;
  readonly arbiter: Pick<KeyArbiter, 'claim' | 'recordResolution'>;
  readonly calls: Pick<NodeCallClient, 'call'>;
  /** Longest wait for the response of one arbiter. */
  readonly callTimeoutMs: Millis;
  /** Nodes in state `serving`, including this one. */
  listNodes(): readonly ArbiterNode[];
}

/** Permission to send the request of a key once. It is resolved by an outcome or by a release. */
export interface HeldKey {
  /** Time by which any request sent under this claim must have ended. */
  readonly usableUntil: Millis;
  recordOutcome(outcome: KeyOutcome): void;
  /** Frees the key; allowed only if the request was certainly not run and never will be. */
  release(): void;
}

/** Result of a claim for the entry. Only `held` permits the request to be sent. */
export type ClaimResult =
  | {readonly kind: 'held'; readonly held: HeldKey}
  | {readonly kind: 'answered'; readonly outcome: KeyOutcome}
  | {readonly kind: 'pending'}
  | {readonly kind: 'mismatch'}
  | {readonly kind: 'undecided'; readonly reason: string};

const maxArbiterAttempts = 2;
// Share of the timeout of a call that the arbiter may use, so that it responds before its caller gives up.
const arbiterWaitShare = 0.8;
/** Time for which an arbiter that did not respond is skipped. */
const arbiterBackoffMs: Millis = 5000;

/** Claims keys for the entry at the arbiter of the key's partition, or at the next-ranked node if that fails. */
export class KeyClient {
  private readonly resolutionSender: ResolutionSender;
  private readonly backoffUntil = new Map<NodeId, Millis>();

  constructor(
    private readonly context: KeyClientContext,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    this.resolutionSender = new ResolutionSender(
      resolution => this.sendResolution(resolution),
      context.windowMs / 2,
      clock,
      logger,
    );
  }

  /** Retries outcomes and releases that the log has not recorded yet, until the signal aborts. */
  run(signal: AbortSignal): Promise<void> {
    return this.resolutionSender.run(signal);
  }

  /** Waits until one attempt was made to record each outcome and release. */
  waitForFirstAttempts(): Promise<void> {
    return this.resolutionSender.waitForFirstAttempts();
  }

  /** Claims a key; a claim that is not granted in time is released and never used. */
  async claim(
    key: KeyId,
    print: RequestFingerprint,
    deadline: Millis,
  ): Promise<ClaimResult> {
    const startedAt = this.clock.getTime();
    let reason = 'no arbiter of this key is reachable';
    for (const arbiter of this.rankAvailableArbiters(key)) {
      const timeoutMs = Math.min(
        deadline - this.clock.getTime(),
        this.context.callTimeoutMs,
      );
      if (timeoutMs <= 0) break;
      const claim = makeClaimId();
      const waitMs = timeoutMs * arbiterWaitShare;
      try {
        const request = {key, claim, print, waitMs};
        const response = await this.callArbiter(arbiter, request, timeoutMs);
        const result = this.handleResponse(
          response,
          key,
          claim,
          startedAt,
          deadline,
        );
        // The next arbiter may be able to reach the log, or may have read more of it.
        if (result.kind !== 'undecided') return result;
        reason = result.reason;
      } catch (error) {
        // The claim may be in the log or reach it later, so it is released; the next arbiter gets a new one.
        this.resolutionSender.add({kind: 'release', key, claim});
        this.setBackoff(arbiter.node);
        reason = describeError(error);
        this.logger.warn(
          {arbiter: arbiter.node, reason},
          'call to arbiter failed',
        );
      }
    }
    return {kind: 'undecided', reason};
  }

  private handleResponse(
    response: ClaimResponse,
    key: KeyId,
    claim: string,
    startedAt: Millis,
    deadline: Millis,
  ): ClaimResult {
    if (response.kind !== 'granted') {
      // An unreleased claim in the log would hold the key once the current holder's claim is released or expires.
      if (response.appended)
        this.resolutionSender.add({kind: 'release', key, claim});
      return response;
    }
    // The log timestamped the claim after `startedAt`, so this limit is well before the claim expires.
    const usableUntil = Math.min(
      deadline,
      startedAt + this.context.windowMs / 2,
    );
    if (this.clock.getTime() >= usableUntil) {
      this.resolutionSender.add({kind: 'release', key, claim});
      return {kind: 'undecided', reason: 'the claim was granted too late'};
    }
    return {kind: 'held', held: this.makeHeldKey(key, claim, usableUntil)};
  }

  private makeHeldKey(key: KeyId, claim: string, usableUntil: Millis): HeldKey {
    let isResolved = false;
    const sendOnce = (resolution: ClaimResolution) => {
      if (isResolved) return;
      isResolved = true;
      this.resolutionSender.add(resolution);
    };
    return {
      usableUntil,
      recordOutcome: outcome =>
        sendOnce({kind: 'complete', key, claim, outcome}),
      release: () => sendOnce({kind: 'release', key, claim}),
    };
  }

  private async callArbiter(
    arbiter: ArbiterNode,
    request: ClaimRequest,
    timeoutMs: Millis,
  ): Promise<ClaimResponse> {
    if (arbiter.node === this.context.node) {
      return this.context.arbiter.claim(request);
    }
    const response = await this.context.calls.call(
      arbiter.dataAddress,
      keyCallNames.claim,
      request,
      timeoutMs,
    );
    return response as ClaimResponse;
  }

  private async sendResolution(resolution: ClaimResolution): Promise<void> {
    const [arbiter] = this.rankAvailableArbiters(asId<KeyId>(resolution.key));
    if (!arbiter || arbiter.node === this.context.node) {
      return this.context.arbiter.recordResolution(resolution);
    }
    const {dataAddress} = arbiter;
    let response: unknown;
    try {
      const name = keyCallNames[resolution.kind];
      response = await this.context.calls.call(
        dataAddress,
        name,
        resolution,
        this.context.callTimeoutMs,
      );
    } catch (error) {
      this.setBackoff(arbiter.node);
      throw error;
    }
    const {recorded, reason} = response as ResolutionResponse;
    if (!recorded) throw new LogUnavailableError(reason);
  }

  private setBackoff(node: NodeId): void {
    this.backoffUntil.set(node, this.clock.getTime() + arbiterBackoffMs);
  }

  private rankAvailableArbiters(key: KeyId): readonly ArbiterNode[] {
    const stream = getKeyStream(key, this.context.partitions);
    const now = this.clock.getTime();
    return rankArbiters(stream, this.context.listNodes())
      .filter(({node}) => (this.backoffUntil.get(node) ?? 0) <= now)
      .slice(0, maxArbiterAttempts);
  }
}
