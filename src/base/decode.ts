import * as E from 'fp-ts/lib/Either.js';
import * as t from 'io-ts';
import {InvalidInputError} from './errors.js';

const maxShownCharacters = 100;

interface TaggedType {
  readonly _tag?: string;
  readonly type?: TaggedType;
}

// io-ts adds the indices of union and intersection members to the context; they are not part of the value's path.
function isMemberIndex(context: t.Context, index: number): boolean {
  let parent = context[index - 1]?.type as TaggedType | undefined;
  while (parent?._tag === 'ExactType') parent = parent.type;
  return parent?._tag === 'IntersectionType' || parent?._tag === 'UnionType';
}

/** Describes the most deeply nested mismatch, such as `slots: expected number, got "3"`. */
function describeMismatch(errors: t.Errors): string {
  const deepest = errors.reduce((best, error) =>
    error.context.length > best.context.length ? error : best,
  );
  const path = deepest.context
    .filter((_entry, index) => !isMemberIndex(deepest.context, index))
    .map(entry => entry.key)
    .filter(key => key !== '')
    .join('.');
  const expected = deepest.context[deepest.context.length - 1].type.name;
  const shown = describeValue(deepest.value).slice(0, maxShownCharacters);
  return `${path || 'value'}: expected ${expected}, got ${shown}`;
}

/** Describes a value without its parts, which may be nested too deeply to be printed. */
function describeValue(value: unknown): string {
  if (Array.isArray(value)) return 'a list';
  if (typeof value === 'object' && value !== null) return 'an object';
  return String(JSON.stringify(value));
}

/** Parses untrusted JSON; undefined if the text is not JSON, which the codec then reports as a mismatch. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/** Validates an untrusted value; Left names the field and the expected type. */
export function decodeWith<A>(
  codec: t.Type<A, unknown, unknown>,
  value: unknown,
): E.Either<Error, A> {
  const result = codec.decode(value);
  return E.isRight(result)
    ? result
    : E.left(new InvalidInputError(describeMismatch(result.left)));
}

/** Marks a switch as exhaustive: the call compiles only if every case is handled. */
export function assertNever(value: never): never {
  throw new Error(`unhandled case ${JSON.stringify(value)}`);
}

export function clampNumber(value: number, low: number, high: number): number {
  return Math.min(high, Math.max(low, value));
}

/** Whether a value is a whole number in a range, small enough to be exact. */
export function isWholeNumber(
  value: unknown,
  low = 0,
  high = Number.MAX_SAFE_INTEGER,
): boolean {
  return (
    Number.isSafeInteger(value) && Number(value) >= low && Number(value) <= high
  );
}
