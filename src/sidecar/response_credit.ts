import {ByteBudget} from '../base/index.js';
import {initialCreditBytes} from '../mesh/index.js';

/** Largest number of bytes of one response between the guard and the caller. */
const maxOpenBytes = 512 * 1024;
/** Credit is extended in steps of at least this size, so that few messages are needed. */
const minExtensionBytes = maxOpenBytes / 4;
/** Smallest increase of the credit that is worth a message while the budget is exhausted. */
const minUpdateBytes = initialCreditBytes / 2;

/**
 * Credit that an entry gives a guard for one response, claimed from a budget before it is given. Bytes that the caller has
 * taken return to the budget; a credit of the initial size remains, so that each response goes on when others use up the
 * budget.
 */
export class ResponseCredit {
  private credit = initialCreditBytes;
  /** Credit of which the guard has been told. */
  private announced = initialCreditBytes;
  private received = 0;
  private taken = 0;
  private isReleased = false;

  private constructor(private readonly budget: ByteBudget) {}

  /** Claims the initial credit; undefined if the budget is used up. */
  static claim(budget: ByteBudget): ResponseCredit | undefined {
    return budget.claim(initialCreditBytes)
      ? new ResponseCredit(budget)
      : undefined;
  }

  recordReceived(bytes: number): void {
    this.received += bytes;
  }

  /** Records bytes that the caller has taken, in addition to earlier ones. */
  recordTaken(bytes: number): void {
    if (this.isReleased) return;
    const openBefore = this.credit - this.taken;
    this.taken += bytes;
    const keptBytes = Math.min(openBefore, initialCreditBytes);
    const shortage = Math.max(0, keptBytes - (this.credit - this.taken));
    this.credit += shortage;
    this.budget.release(bytes - shortage);
  }

  /** Whether the guard may send nothing more until bytes have been taken. */
  isUsedUp(): boolean {
    return this.received >= this.announced;
  }

  /** Extends the credit once half of it is used; returns the new total if the guard must be told. */
  grantMore(): number | undefined {
    if (this.isReleased) return undefined;
    const openBytes = this.announced - this.taken;
    if (this.announced - this.received > openBytes / 2) return undefined;
    const wanted = maxOpenBytes - (this.credit - this.taken);
    if (wanted >= minExtensionBytes) {
      this.credit += this.budget.claimUpTo(wanted);
    }
    if (this.credit - this.announced < minUpdateBytes) return undefined;
    this.announced = this.credit;
    return this.announced;
  }

  /** Returns everything to the budget; later calls have no effect. */
  release(): void {
    if (this.isReleased) return;
    this.isReleased = true;
    this.budget.release(this.credit - this.taken);
  }
}
