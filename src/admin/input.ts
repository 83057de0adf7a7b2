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

function refuse(message: string): InvalidInputError {
  return new InvalidInputError(message);
}

type InvalidInputError = InstanceType<typeof InvalidInputError>;

/** Fails for a field that is not known, so that a misspelt option is not silently left out. */
function checkFields(path: string, given: object, known: object): void {
  for (const [key, value] of Object.entries(given)) {
    const kept = (known as Record<string, unknown>)[key];
    if (!Object.hasOwn(known, key)) {
      throw refuse(`${path}.${key}: unknown field; remove it or correct it`);
    }
    if (typeof value === 'object' && value && typeof kept === 'object') {
      checkFields(`${path}.${key}`, value, kept as object);
    }
  }
}

function parseChange(given: Record<string, unknown>, path: string): Change {
  if (!changeKinds.includes(String(given.kind))) {
    throw refuse(
      `${path}.kind: unknown kind ${JSON.stringify(given.kind)}; the kinds are ${changeKinds.join(', ')}`,
    );
  }
  const decoded = decodeWith(changeCodec, given);
  if (E.isLeft(decoded)) throw refuse(`${path}.${decoded.left.message}`);
  checkFields(path, given, decoded.right);
  return decoded.right;
}

/** Checks the body of `POST /v1/plans`; the InvalidInputError begins with the field. */
export function parsePlanBody(body: unknown): {
  readonly changes: readonly Change[];
  readonly planId?: string;
} {
  const decoded = decodeWith(planBodyCodec, body);
  if (E.isLeft(decoded)) throw decoded.left;
  const {changes, planId} = decoded.right;
  if (changes.length === 0) {
    throw refuse('changes: empty; give at least one change');
  }
  return {
    planId,
    changes: changes.map((change, i) => parseChange(change, `changes.${i}`)),
  };
}

/** Checks the body of a confirmation, which may be absent. */
export function parseConfirmBody(body: unknown): {
  readonly confirmationId?: string;
} {
  const decoded = decodeWith(confirmBodyCodec, body ?? {});
  if (E.isLeft(decoded)) throw decoded.left;
  return decoded.right;
}
