import * as E from 'fp-ts/lib/Either.js';
import * as t from 'io-ts';
import {InvalidInputError} from './errors.js';

const maxShownLength = 100;

interface TaggedType {
  readonly _tag?: string;
  readonly type?: TaggedType;
}

// Unions and intersections number their members in the context; those numbers are no part of the value's path.
function isMemberNumber(context: t.Context, index: number): boolean {
  let parent = context[index - 1]?.type as TaggedType | undefined;
  while (parent?._tag === 'ExactType') parent = parent.type;
  return parent?._tag === 'IntersectionType' || parent?._tag === 'UnionType';
}

/** Path and expectation of the first mismatch, such as `slots: expected number`. */
function describeMismatch(errors: t.Errors): string {
  const deepest = errors.reduce((best, error) =>
    error.context.length > best.context.length ? error : best,
  );
  const path = deepest.context
    .filter((_entry, index) => !isMemberNumber(deepest.context, index))
    .map(entry => entry.key)
    .filter(key => key !== '')
    .join('.');
  const expected = deepest.context[deepest.context.length - 1].type.name;
  const shown = String(JSON.stringify(deepest.value)).slice(0, maxShownLength);
  return `${path || 'value'}: expected ${expected}, got ${shown}`;
}

/** Parses JSON from outside; undefined for text that is none, which a codec then reports. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/** Decodes a value from outside; Left names the field and what was expected. */
export function decodeWith<A>(
  codec: t.Type<A, unknown, unknown>,
  value: unknown,
): E.Either<Error, A> {
  const result = codec.decode(value);
  return E.isRight(result)
    ? result
    : E.left(new InvalidInputError(describeMismatch(result.left)));
}

/** Marks a switch as exhaustive: compiles only if every case was handled. */
export function assertNever(value: never): never {
  throw new Error(`unhandled case ${JSON.stringify(value)}`);
}

/** Bounds a number. */
export function clampNumber(value: number, low: number, high: number): number {
  return Math.min(high, Math.max(low, value));
}
