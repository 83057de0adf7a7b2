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
/** How long to wait for the read-back before an append without a reply is retried. */
const appendRetryDelayMs: Millis = 1500;

/** Throws if the changes conflict with local state of this node, such as which servers are ready. */
type CheckChanges = (changes: readonly Change[]) => void;

/** Error codes of connections that were never established, so that nothing was sent. */
const connectErrorCodes: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

// LogUnavailableError copies the properties of its cause, such as `code`.
function isConnectError(error: unknown): boolean {
  return connectErrorCodes.has(String((error as NodeJS.ErrnoException).code));
}

// LogUnavailableError puts the messages of its causes on the lines before its own.
function describeProblem(error: unknown): string {
  const lines = (error as Error).message.split('\n');
  return lines[lines.length - 1];
}

function describeUnknownOutcome(record: ConfigRecord): string {
  switch (record.kind) {
    case 'plan':
      return `plan ${record.plan} may still be recorded, but has no effect until it is confirmed; list the plans, or create a new plan when the log answers`;
    case 'confirm':
      return `confirmation ${record.confirmation} may still take effect; send it again with the same id to get the outcome before you create a new plan`;
  }
}

/** Appends plans and confirmations to the log and returns once they were read back. */
export class PlanSubmitter {
  private readonly signer: RecordSigner;

  constructor(
    private readonly log: LogClient,
    private readonly follower: ConfigFollower,
    clusterKey: string,
    private readonly stream: string,
    private readonly clock: Clock,
  ) {
    this.signer = new RecordSigner(clusterKey, stream);
  }

  /**
   * Validates changes against the configuration in force and with `check`, and records them as a plan. Repeating the
   * call with the same id returns the same plan. Throws ConflictError, InvalidInputError, UnavailableError, or
   * LogUnavailableError with the property `mayTakeEffect`.
   */
  async createPlan(
    changes: readonly Change[],
    planId: string = randomUUID(),
    check: CheckChanges = () => undefined,
  ): Promise<PendingPlan> {
    const id = asId<PlanId>(planId);
    await this.readLogToEnd();
    const existingPlan = this.follower.getState().plans.get(id);
    if (existingPlan) return this.checkSameChanges(existingPlan, changes);
    this.checkReplaying();
    if (findOutcome(this.follower.getState(), id)) {
      throw new ConflictError(
        `plan ${id} was already confirmed; create a new plan with another id`,
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
   * Confirms a plan, unless `check` throws, and returns the outcome once it was read back. A confirmation id takes
   * effect once, however often it is sent. Throws the errors of `createPlan`, and NotFoundError.
   */
  async confirmPlan(
    planId: string,
    confirmationId: string = randomUUID(),
    check: CheckChanges = () => undefined,
  ): Promise<ConfirmOutcome> {
    const plan = asId<PlanId>(planId);
    const readError = await this.readLogToEnd();
    const existingOutcome = this.follower
      .getState()
      .outcomes.get(confirmationId);
    if (existingOutcome)
      return this.checkSamePlan(existingOutcome, plan, confirmationId);
    this.checkReplaying();
    const state = this.follower.getState();
    if (!state.plans.has(plan) && !findOutcome(state, plan)) {
      if (readError) {
        throw new LogUnavailableError(
          `confirmation ${confirmationId} was not sent and has no effect: this node does not know plan ${plan}, and ${describeProblem(readError)}; use another node, or try again when the log answers`,
          {props: {mayTakeEffect: false}},
        );
      }
      throw new NotFoundError(
        `plan ${plan} is unknown; it may have been evicted by newer ones: create a new plan`,
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

  /**
   * Reads the records of other nodes. Returns the error if the log is down instead of throwing it: the append would
   * fail with the same error.
   */
  private async readLogToEnd(): Promise<Error | undefined> {
    return this.follower.readToEnd().then(
      () => undefined,
      (error: Error) => error,
    );
  }

  private checkReplaying(): void {
    const hold = this.follower.getHold();
    if (!hold && this.follower.isLoaded()) return;
    const reason = hold ? describeHold(hold) : 'no configuration is loaded yet';
    throw new UnavailableError(
      `this node does not accept plans: ${reason}; use another node`,
    );
  }

  private checkSameChanges(
    existingPlan: PendingPlan,
    changes: readonly Change[],
  ): PendingPlan {
    if (JSON.stringify(existingPlan.changes) === JSON.stringify(changes))
      return existingPlan;
    throw new ConflictError(
      `plan ${existingPlan.plan} exists with other changes; use another plan id`,
    );
  }

  private checkSamePlan(
    outcome: ConfirmOutcome,
    plan: PlanId,
    confirmationId: string,
  ): ConfirmOutcome {
    if (outcome.plan === plan) return outcome;
    throw new ConflictError(
      `confirmation ${confirmationId} was used for plan ${outcome.plan}; use another confirmation id`,
    );
  }

  /** Appends a record, retrying if the reply was lost, and waits until it shows in the state. */
  private async appendAndReadBack<T>(
    record: ConfigRecord,
    name: string,
    find: (state: ConfigState) => T | undefined,
  ): Promise<T> {
    const signedRecord = this.signer.encode(record);
    if (signedRecord.body.length > maxBodyLength) {
      throw new InvalidInputError(
        `changes: ${signedRecord.body.length} characters exceed the ${maxBodyLength} of a record; split them into several plans`,
      );
    }
    const deadline = this.clock.getTime() + readBackTimeoutMs;
    let mayTakeEffect = false;
    let appended = false;
    let problem = 'it was not read back in time';
    for (const waitWithoutReplyMs of [appendRetryDelayMs, readBackTimeoutMs]) {
      try {
        await this.log.append(this.stream, [signedRecord]);
        appended = true;
        mayTakeEffect = true;
      } catch (error) {
        mayTakeEffect ||= !isConnectError(error);
        problem = describeProblem(error);
      }
      if (!mayTakeEffect) break;
      const remainingMs = deadline - this.clock.getTime();
      const waitMs = appended
        ? remainingMs
        : Math.min(waitWithoutReplyMs, remainingMs);
      const found = await this.follower.waitFor(find, waitMs);
      if (found !== undefined) return found;
      if (appended) break;
    }
    throw new LogUnavailableError(
      mayTakeEffect
        ? `${describeUnknownOutcome(record)}: ${problem}. The configuration in force stays unchanged meanwhile`
        : `${name} was not sent and has no effect: ${problem}. The configuration in force stays unchanged; try again when the log answers`,
      {props: {mayTakeEffect}},
    );
  }
}
