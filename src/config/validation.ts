import {InvalidInputError, isValidId} from '../base/index.js';

/** Minimum and maximum permitted value, both inclusive. */
export type Range = readonly [number, number];

/** Permitted ranges of the integer fields of changes. */
export const integerRanges = {
  floor: [0, 10_000],
  expected: [1, 10_000],
  count: [1, 10_000],
  timeoutMs: [1, 600_000],
  stallMs: [1, 600_000],
  queuePerServer: [0, 10_000],
  weight: [1, 1000],
  ratePerSecond: [0, 1_000_000],
  concurrency: [0, 1_000_000],
} as const satisfies Record<string, Range>;

/** Throws an InvalidInputError unless the text is a valid id. */
export function checkId(field: string, text: string): void {
  if (isValidId(text)) return;
  throw new InvalidInputError(
    `${field}: ${JSON.stringify(text.slice(0, 80))} is no id; use 1 to 64 of a-z 0-9 . _ - and begin with a letter or digit`,
  );
}

/** Throws an InvalidInputError unless the value is within the range. */
export function checkRange(field: string, value: number, range: Range): void {
  if (value >= range[0] && value <= range[1]) return;
  throw new InvalidInputError(
    `${field}: ${value} is out of range; give a number from ${range[0]} to ${range[1]}`,
  );
}

/** Throws an InvalidInputError unless the value is an integer within the range of its field. */
export function checkInteger(
  field: keyof typeof integerRanges,
  value: number,
): void {
  if (!Number.isInteger(value)) {
    throw new InvalidInputError(
      `${field}: ${value} is not whole; give a whole number from ${integerRanges[field][0]} to ${integerRanges[field][1]}`,
    );
  }
  checkRange(field, value, integerRanges[field]);
}
