import {promisify} from 'node:util';
import {deflate, inflate} from 'node:zlib';
import * as E from 'fp-ts/lib/Either.js';
import * as t from 'io-ts';
import {decodeWith, describeError, InvalidInputError} from '../base/index.js';
import {isSameSecret, signParts} from '../hash/index.js';
import {makeNullPrototypeTable} from './configuration.js';
import {ConfigState} from './config_state.js';
import {supportedFormat} from './record.js';

const deflateAsync = promisify(deflate);
const inflateAsync = promisify(inflate);
// A full configuration is about 5 MB of JSON; the bound keeps a small compressed input from exhausting the memory.
const maxStateBytes = 64 * 1024 * 1024;

/** A configuration state as deflated JSON, with its HMAC by the cluster key as `proof`. */
export interface EncodedState {
  readonly format: number;
  readonly next: number;
  readonly version: number;
  readonly bytes: Buffer;
  readonly proof: string;
}

const tableCodec = t.UnknownRecord;
const stateCodec = t.type({
  next: t.Int,
  config: t.type({
    version: t.Int,
    services: tableCodec,
    pools: tableCodec,
    routes: tableCodec,
    partners: tableCodec,
    accounts: tableCodec,
    retired: tableCodec,
  }),
  plans: t.array(t.tuple([t.string, tableCodec])),
  outcomes: t.array(t.tuple([t.string, tableCodec])),
  recent: t.array(t.type({version: t.Int, objects: t.array(t.string)})),
  horizon: t.Int,
  badRecords: tableCodec,
});

function signState(
  clusterKey: string,
  state: Omit<EncodedState, 'proof'>,
): string {
  return signParts(clusterKey, [
    'config-state',
    String(state.format),
    String(state.next),
    String(state.version),
    state.bytes.toString('base64'),
  ]);
}

/** Encodes a configuration state for the log or a peer. */
export async function encodeState(
  clusterKey: string,
  state: ConfigState,
): Promise<EncodedState> {
  const text = JSON.stringify({
    ...state,
    plans: [...state.plans],
    outcomes: [...state.outcomes],
  });
  const encoded = {
    format: supportedFormat,
    next: state.next,
    version: state.config.version,
    bytes: await deflateAsync(text),
  };
  return {...encoded, proof: signState(clusterKey, encoded)};
}

function makeState(value: t.TypeOf<typeof stateCodec>): ConfigState {
  const {config} = value;
  return {
    ...value,
    config: {
      version: config.version,
      services: makeNullPrototypeTable(config.services),
      pools: makeNullPrototypeTable(config.pools),
      routes: makeNullPrototypeTable(config.routes),
      partners: makeNullPrototypeTable(config.partners),
      accounts: makeNullPrototypeTable(config.accounts),
      retired: makeNullPrototypeTable(config.retired),
    },
    plans: new Map(value.plans),
    outcomes: new Map(value.outcomes),
  } as unknown as ConfigState;
}

/** Decodes a configuration state; Left if it is truncated, forged, of a newer format or not of the stated version. */
export async function decodeState(
  clusterKey: string,
  encoded: EncodedState,
): Promise<E.Either<Error, ConfigState>> {
  const refuse = (problem: string) =>
    E.left(new InvalidInputError(`configuration state rejected: ${problem}`));
  if (!isSameSecret(encoded.proof, signState(clusterKey, encoded))) {
    return refuse('invalid proof; the state is damaged or forged');
  }
  if (encoded.format > supportedFormat) {
    return refuse(
      `format ${encoded.format} is newer than the supported ${supportedFormat}; update this node's program`,
    );
  }
  try {
    const bytes = await inflateAsync(encoded.bytes, {
      maxOutputLength: maxStateBytes,
    });
    const decoded = decodeWith(stateCodec, JSON.parse(bytes.toString()));
    if (E.isLeft(decoded)) return refuse(decoded.left.message);
    const {next, config} = decoded.right;
    if (next !== encoded.next || config.version !== encoded.version) {
      return refuse('its content differs from the stated version');
    }
    return E.right(makeState(decoded.right));
  } catch (error) {
    return refuse(describeError(error));
  }
}
