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

/** What a client needs from its node. */
export interface KeyClientContext extends KeySettings {
  readonly node: NodeId;
  readonly arbiter: Pick<KeyArbiter, 'claim' | 'record'>;
  readonly calls: Pick<NodeCallClient, 'call'>;
  /** Longest wait for the answer of one arbiter. */
  readonly callMs: Millis;
  /** Nodes that serve, this one included. */
  listNodes(): readonly ArbiterNode[];
}

/** The right to send the request of a key once. Ends by its outcome, or by a release. */
export interface HeldKey {
  /** No request may be under way for this claim later than this. */
  readonly usableUntil: Millis;
  recordOutcome(outcome: KeyOutcome): void;
  /** Gives the key back; only valid if the request was certainly not run and never will be. */
  release(): void;
}

/** What the entry learns of a key. Only `held` permits the request to be sent. */
export type ClaimResult =
  | {readonly kind: 'held'; readonly held: HeldKey}
  | {readonly kind: 'answered'; readonly outcome: KeyOutcome}
  | {readonly kind: 'pending'}
  | {readonly kind: 'mismatch'}
  | {readonly kind: 'undecided'; readonly reason: string};

const maxArbiters = 2;
// The arbiter answers before its caller gives up.
const arbiterShare = 0.8;
/** Time for which an arbiter that did not answer is passed over. */
const avoidMs: Millis = 5000;

/** Claims keys for the entry, at the arbiter of the key's partition or at the next one if that does not answer. */
export class KeyClient {
  private readonly backlog: ResolutionSender;
  private readonly avoided = new Map<NodeId, Millis>();

  constructor(
    private readonly context: KeyClientContext,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    this.backlog = new ResolutionSender(
      end => this.sendEnd(end),
      context.windowMs / 2,
      clock,
      logger,
    );
  }

  /** Delivers what the log does not have yet, until the signal aborts. */
  run(signal: AbortSignal): Promise<void> {
    return this.backlog.run(signal);
  }

  /** Waits until outcomes and releases were tried once. */
  waitForFirstAttempts(): Promise<void> {
    return this.backlog.waitForFirstAttempts();
  }

  /** Claims a key; a claim that is not granted in time is released and never used. */
  async claim(
    key: KeyId,
    print: RequestFingerprint,
    deadline: Millis,
  ): Promise<ClaimResult> {
    const startedAt = this.clock.getTime();
    let reason = 'no arbiter of this key can be reached';
    for (const arbiter of this.rankReachable(key)) {
      const left = Math.min(
        deadline - this.clock.getTime(),
        this.context.callMs,
      );
      if (left <= 0) break;
      const claim = makeClaimId();
      const waitMs = left * arbiterShare;
      try {
        const request = {key, claim, print, waitMs};
        const answer = await this.callArbiter(arbiter, request, left);
        const decision = this.useAnswer(
          answer,
          key,
          claim,
          startedAt,
          deadline,
        );
        // The next arbiter may reach the log, or have read more of it.
        if (decision.kind !== 'undecided') return decision;
        reason = decision.reason;
      } catch (error) {
        // The claim may be in the log now or later. A new one is made for the next arbiter.
        this.backlog.add({kind: 'release', key, claim});
        this.setAvoided(arbiter.node);
        reason = describeError(error);
        this.logger.warn({arbiter: arbiter.node, reason}, 'arbiter silent');
      }
    }
    return {kind: 'undecided', reason};
  }

  private useAnswer(
    answer: ClaimResponse,
    key: KeyId,
    claim: string,
    startedAt: Millis,
    deadline: Millis,
  ): ClaimResult {
    if (answer.kind !== 'granted') {
      // Left in the log, the claim would hold the key once the present holder ends.
      if (answer.appended) this.backlog.add({kind: 'release', key, claim});
      return answer;
    }
    // The log's stamp of the claim is later than our start, so this is well before the claim is too old.
    const usableUntil = Math.min(
      deadline,
      startedAt + this.context.windowMs / 2,
    );
    if (this.clock.getTime() >= usableUntil) {
      this.backlog.add({kind: 'release', key, claim});
      return {kind: 'undecided', reason: 'the claim was granted too late'};
    }
    return {kind: 'held', held: this.makeHeldKey(key, claim, usableUntil)};
  }

  private makeHeldKey(key: KeyId, claim: string, usableUntil: Millis): HeldKey {
    let ended = false;
    const end = (record: ClaimResolution) => {
      if (ended) return;
      ended = true;
      this.backlog.add(record);
    };
    return {
      usableUntil,
      recordOutcome: outcome => end({kind: 'complete', key, claim, outcome}),
      release: () => end({kind: 'release', key, claim}),
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
    const answer = await this.context.calls.call(
      arbiter.dataAddress,
      keyCallNames.claim,
      request,
      timeoutMs,
    );
    return answer as ClaimResponse;
  }

  private async sendEnd(end: ClaimResolution): Promise<void> {
    const [arbiter] = this.rankReachable(asId<KeyId>(end.key));
    if (!arbiter || arbiter.node === this.context.node) {
      return this.context.arbiter.record(end);
    }
    const {dataAddress} = arbiter;
    let answer: unknown;
    try {
      const name = keyCallNames[end.kind];
      answer = await this.context.calls.call(
        dataAddress,
        name,
        end,
        this.context.callMs,
      );
    } catch (error) {
      this.setAvoided(arbiter.node);
      throw error;
    }
    const {recorded, reason} = answer as ResolutionResponse;
    if (!recorded) throw new LogUnavailableError(reason);
  }

  private setAvoided(node: NodeId): void {
    this.avoided.set(node, this.clock.getTime() + avoidMs);
  }

  private rankReachable(key: KeyId): readonly ArbiterNode[] {
    const stream = getKeyStream(key, this.context.partitions);
    const now = this.clock.getTime();
    return rankArbiters(stream, this.context.listNodes())
      .filter(({node}) => (this.avoided.get(node) ?? 0) <= now)
      .slice(0, maxArbiters);
  }
}
