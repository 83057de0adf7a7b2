import * as E from 'fp-ts/lib/Either.js';
import * as t from 'io-ts';
import {decodeWith, InvalidInputError} from '../base/index.js';
import {
  Change,
  changeCodec,
  changeKinds,
  recordIdCodec,
} from '../config/index.js';

const planBodyCodec = t.intersection([
  t.type({changes: t.array(t.UnknownRecord)}),
  t.partial({planId: recordIdCodec}),
]);
const confirmBodyCodec = t.partial({confirmationId: recordIdCodec});

function makeInputError(message: string): InvalidInputError {
  return new InvalidInputError(message);
}

type InvalidInputError = InstanceType<typeof InvalidInputError>;

/** Throws for an unknown field, so that a misspelt option is not silently ignored. */
function checkFields(path: string, given: object, known: object): void {
  for (const [key, value] of Object.entries(given)) {
    const knownValue = (known as Record<string, unknown>)[key];
    if (!Object.hasOwn(known, key)) {
      throw makeInputError(
        `${path}.${key}: unknown field; remove it or correct it`,
      );
    }
    if (typeof value === 'object' && value && typeof knownValue === 'object') {
      checkFields(`${path}.${key}`, value, knownValue as object);
    }
  }
}

function parseChange(given: Record<string, unknown>, path: string): Change {
  if (!changeKinds.includes(String(given.kind))) {
    throw makeInputError(
      `${path}.kind: unknown kind ${JSON.stringify(given.kind)}; the kinds are ${changeKinds.join(', ')}`,
    );
  }
  const decoded = decodeWith(changeCodec, given);
  if (E.isLeft(decoded))
    throw makeInputError(`${path}.${decoded.left.message}`);
  checkFields(path, given, decoded.right);
  return decoded.right;
}

/** Parses the body of `POST /v1/plans`; the message of an InvalidInputError begins with the path of the field. */
export function parsePlanBody(body: unknown): {
  readonly changes: readonly Change[];
  readonly planId?: string;
} {
  const decoded = decodeWith(planBodyCodec, body);
  if (E.isLeft(decoded)) throw decoded.left;
  const {changes, planId} = decoded.right;
  if (changes.length === 0) {
    throw makeInputError('changes: empty; give at least one change');
  }
  return {
    planId,
    changes: changes.map((change, i) => parseChange(change, `changes.${i}`)),
  };
}

/** Parses the optional body of a confirmation. */
export function parseConfirmBody(body: unknown): {
  readonly confirmationId?: string;
} {
  const decoded = decodeWith(confirmBodyCodec, body ?? {});
  if (E.isLeft(decoded)) throw decoded.left;
  return decoded.right;
}
