import {ByteBudget} from '../base/index.js';

/** Fractions of the memory limit of the process; what is left is for the program itself and for copies in transit. */
const requestBodyFraction = 0.12;
const responseFraction = 0.12;
const retainedPartFraction = 0.06;

/** Bytes that a node holds for requests and responses, bounded by the memory limit of its process. */
export interface MemoryBudgets {
  /** Request bodies at the entry. */
  readonly requestBodies: ByteBudget;
  /** Responses at the entry: what guards may send, and what callers have not taken yet. */
  readonly responses: ByteBudget;
  /** Parts of responses that the guard retains until they have arrived at their entries. */
  readonly retainedParts: ByteBudget;
}

/** Divides the memory limit of the process, in bytes. */
export function makeMemoryBudgets(memoryLimit: number): MemoryBudgets {
  const makeBudget = (fraction: number) =>
    new ByteBudget(Math.floor(memoryLimit * fraction));
  return {
    requestBodies: makeBudget(requestBodyFraction),
    responses: makeBudget(responseFraction),
    retainedParts: makeBudget(retainedPartFraction),
  };
}
