import {randomUUID} from 'node:crypto';
import * as E from 'fp-ts/lib/Either.js';
import {
  asId,
  Clock,
  ConflictError,
  InvalidInputError,
  LogUnavailableError,
  Millis,
  NotFoundError,
  PlanId,
  UnavailableError,
} from '../base/index.js';
import {LogClient} from '../logservice/index.js';
import {applyChanges} from './apply_changes.js';
import {Change} from './change_codec.js';
import {
  ConfigState,
  ConfirmOutcome,
  findOutcome,
  PendingPlan,
} from './config_state.js';
import {ConfigFollower, describeHold} from './follower.js';
import {ConfigRecord, maxBodyLength, RecordSigner} from './record.js';

const readBackTimeoutMs: Millis = 5000;
/** Wait for the read-back before an append that may be lost is made again. */
const appendRetryDelayMs: Millis = 1500;

/** Throws if changes do not fit what only this node knows, such as the servers that are ready. */
type CheckChanges = (changes: readonly Change[]) => void;

/** Errors of a connection that was never made: nothing was sent. */
const connectErrorCodes: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

// The error class takes over the properties of its cause.
function isConnectError(error: unknown): boolean {
  return connectErrorCodes.has(String((error as NodeJS.ErrnoException).code));
}

// The error class puts the messages of causes on lines before its own.
function describeProblem(error: unknown): string {
  const lines = (error as Error).message.split('\n');
  return lines[lines.length - 1];
}

function describeUnknownOutcome(record: ConfigRecord): string {
  switch (record.kind) {
    case 'plan':
      return `plan ${record.plan} may still be recorded, but does nothing until it is confirmed; list the plans, or plan anew when the log answers`;
    case 'confirm':
      return `confirmation ${record.confirmation} may still take effect; send it again with the same id to learn the outcome before you plan anew`;
  }
}

/** Puts plans and confirmations on the log and answers after they were read back. */
export class PlanSubmitter {
  private readonly seal: RecordSigner;

  constructor(
    private readonly log: LogClient,
    private readonly follower: ConfigFollower,
    clusterKey: string,
    private readonly stream: string,
    private readonly clock: Clock,
  ) {
    this.seal = new RecordSigner(clusterKey, stream);
  }

  /**
   * Checks changes against what is in force, and by `check`, and records them as a plan. The same id again gives the
   * same plan. Throws ConflictError, InvalidInputError, UnavailableError, or LogUnavailableError with the property
   * `mayTakeEffect`.
   */
  async createPlan(
    changes: readonly Change[],
    planId: string = randomUUID(),
    check: CheckChanges = () => undefined,
  ): Promise<PendingPlan> {
    const id = asId<PlanId>(planId);
    await this.readLogToEnd();
    const known = this.follower.getState().plans.get(id);
    if (known) return this.checkSameChanges(known, changes);
    this.checkReplaying();
    if (findOutcome(this.follower.getState(), id)) {
      throw new ConflictError(
        `plan ${id} was confirmed already; plan anew under another id`,
      );
    }
    const {config} = this.follower.getState();
    const checked = applyChanges(config, changes, config.version);
    if (E.isLeft(checked)) throw checked.left;
    check(changes);
    const record: ConfigRecord = {
      kind: 'plan',
      plan: id,
      baseVersion: config.version,
      changes: [...changes],
    };
    return this.appendAndReadBack(record, `plan ${id}`, state =>
      state.plans.get(id),
    );
  }

  /**
   * Confirms a plan, if `check` takes it, and gives the outcome once it was read back. The same confirmation id again
   * acts once. Throws as `plan` does, and NotFoundError.
   */
  async confirmPlan(
    planId: string,
    confirmationId: string = randomUUID(),
    check: CheckChanges = () => undefined,
  ): Promise<ConfirmOutcome> {
    const plan = asId<PlanId>(planId);
    const unread = await this.readLogToEnd();
    const known = this.follower.getState().outcomes.get(confirmationId);
    if (known) return this.checkSamePlan(known, plan, confirmationId);
    this.checkReplaying();
    const state = this.follower.getState();
    if (!state.plans.has(plan) && !findOutcome(state, plan)) {
      if (unread) {
        throw new LogUnavailableError(
          `confirmation ${confirmationId} was not sent and has no effect: this node does not know plan ${plan}, and ${describeProblem(unread)}; use another node, or try again when the log answers`,
          {props: {mayTakeEffect: false}},
        );
      }
      throw new NotFoundError(
        `plan ${plan} is not known; it may have made room for newer ones: plan anew`,
      );
    }
    const pending = state.plans.get(plan);
    if (pending) check(pending.changes);
    const outcome = await this.appendAndReadBack(
      {kind: 'confirm', plan: planId, confirmation: confirmationId},
      `confirmation ${confirmationId}`,
      current => current.outcomes.get(confirmationId),
    );
    return this.checkSamePlan(outcome, plan, confirmationId);
  }

  /** Reads what other nodes recorded; gives the error of a log that is down, which the append would meet too. */
  private async readLogToEnd(): Promise<Error | undefined> {
    return this.follower.readToEnd().then(
      () => undefined,
      (error: Error) => error,
    );
  }

  private checkReplaying(): void {
    const hold = this.follower.getHold();
    if (!hold && this.follower.isLoaded()) return;
    const reason = hold
      ? describeHold(hold)
      : 'no configuration was loaded yet';
    throw new UnavailableError(
      `this node takes no plans: ${reason}; use another node meanwhile`,
    );
  }

  private checkSameChanges(
    known: PendingPlan,
    changes: readonly Change[],
  ): PendingPlan {
    if (JSON.stringify(known.changes) === JSON.stringify(changes)) return known;
    throw new ConflictError(
      `plan ${known.plan} exists with other changes; plan under another id`,
    );
  }

  private checkSamePlan(
    outcome: ConfirmOutcome,
    plan: PlanId,
    confirmationId: string,
  ): ConfirmOutcome {
    if (outcome.plan === plan) return outcome;
    throw new ConflictError(
      `confirmation ${confirmationId} was given to plan ${outcome.plan}; confirm under another id`,
    );
  }

  /** Appends a record, again if the reply was lost, and waits until the fold shows it. */
  private async appendAndReadBack<T>(
    record: ConfigRecord,
    name: string,
    find: (state: ConfigState) => T | undefined,
  ): Promise<T> {
    const sealed = this.seal.encode(record);
    if (sealed.body.length > maxBodyLength) {
      throw new InvalidInputError(
        `changes: ${sealed.body.length} characters exceed the ${maxBodyLength} of a record; split them over several plans`,
      );
    }
    const end = this.clock.getTime() + readBackTimeoutMs;
    let mayTakeEffect = false;
    let appended = false;
    let problem = 'it was not read back in time';
    for (const firstWaitMs of [appendRetryDelayMs, readBackTimeoutMs]) {
      try {
        await this.log.append(this.stream, [sealed]);
        appended = true;
        mayTakeEffect = true;
      } catch (error) {
        mayTakeEffect ||= !isConnectError(error);
        problem = describeProblem(error);
      }
      if (!mayTakeEffect) break;
      const leftMs = end - this.clock.getTime();
      const waitMs = appended ? leftMs : Math.min(firstWaitMs, leftMs);
      const found = await this.follower.waitFor(find, waitMs);
      if (found !== undefined) return found;
      if (appended) break;
    }
    throw new LogUnavailableError(
      mayTakeEffect
        ? `${describeUnknownOutcome(record)}: ${problem}. What is in force stays in force meanwhile`
        : `${name} was not sent and has no effect: ${problem}. What is in force stays in force; try again when the log answers`,
      {props: {mayTakeEffect}},
    );
  }
}
