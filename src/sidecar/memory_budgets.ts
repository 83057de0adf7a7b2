import {Gauge, Registry} from 'prom-client';
import {ByteBudget} from '../base/index.js';

/** Fractions of the memory limit of the process; what is left is for the program itself and for copies in transit. */
const callerBodyFraction = 0.21;
const smallBodyFraction = 0.03;
const responseFraction = 0.12;
const guardBodyFraction = 0.11;
const retainedPartFraction = 0.06;

/** Request bodies that an entry holds for its callers. */
export interface BodyBudgets {
  /** Request bodies that are sent to guards in parts. */
  readonly bodies: ByteBudget;
  /** Smaller ones, which large bodies do not hold up. */
  readonly smallBodies: ByteBudget;
}

/** What an entry holds for its callers. */
export interface EntryBudgets extends BodyBudgets {
  /** Responses: what guards may send, and what callers have not taken yet. */
  readonly responses: ByteBudget;
}

/** What a guard holds for entries. */
export interface GuardBudgets {
  /** Request bodies that are sent in parts. */
  readonly bodies: ByteBudget;
  /** Parts of responses that have not arrived at their entries for certain. */
  readonly retainedParts: ByteBudget;
}

/** Bytes that a node holds for requests and responses. */
export interface MemoryBudgets {
  readonly entry: EntryBudgets;
  readonly guard: GuardBudgets;
}

/** Divides the memory limit of the process, in bytes. */
export function makeMemoryBudgets(memoryLimit: number): MemoryBudgets {
  const makeBudget = (fraction: number) =>
    new ByteBudget(Math.floor(memoryLimit * fraction));
  return {
    entry: {
      bodies: makeBudget(callerBodyFraction),
      smallBodies: makeBudget(smallBodyFraction),
      responses: makeBudget(responseFraction),
    },
    guard: {
      bodies: makeBudget(guardBodyFraction),
      retainedParts: makeBudget(retainedPartFraction),
    },
  };
}

/** Registers a metric of what the node holds and may hold. */
export function registerMemoryMetric(
  {entry, guard}: MemoryBudgets,
  registry: Registry,
): void {
  const budgets: Readonly<Record<string, ByteBudget>> = {
    'caller-bodies': entry.bodies,
    'small-bodies': entry.smallBodies,
    responses: entry.responses,
    'guard-bodies': guard.bodies,
    'retained-parts': guard.retainedParts,
  };
  new Gauge({
    name: 'fescuewheel_held_bytes',
    help: 'Bytes held for requests and responses, and the most that may be held, by kind',
    labelNames: ['kind', 'value'],
    registers: [registry],
    collect() {
      for (const [kind, budget] of Object.entries(budgets)) {
        this.set({kind, value: 'held'}, budget.getUsed());
        this.set({kind, value: 'limit'}, budget.limit);
      }
    },
  });
}
