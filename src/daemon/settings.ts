import {readFileSync} from 'node:fs';
import * as E from 'fp-ts/lib/Either.js';
import {parse} from 'smol-toml';
import {
  describeError,
  isValidId,
  LogLevel,
  logLevels,
  Millis,
  SettingsError,
} from '../base/index.js';

type Parser<T> = (value: unknown) => E.Either<string, T>;

interface Key<T> {
  readonly parse: Parser<T>;
  /** Value if the key is missing; a key without one is required. */
  readonly preset?: T;
}

function makeKey<T>(parser: Parser<T>, preset?: T): Key<T> {
  return {parse: parser, preset};
}

const parseIdText: Parser<string> = value =>
  typeof value === 'string' && isValidId(value)
    ? E.right(value)
    : E.left('expected 1 to 64 of a-z 0-9 . _ -');

const parseIp: Parser<string> = value =>
  typeof value === 'string' && /^[0-9a-f.:]+$/.test(value)
    ? E.right(value)
    : E.left('expected an IP number, such as "10.0.0.1"');

const parseAddress: Parser<string> = value =>
  typeof value === 'string' && /^[0-9a-f.:[\]]+:\d{1,5}$/.test(value)
    ? E.right(value)
    : E.left('expected IP:port, such as "10.0.0.1:7400"');

const parsePort: Parser<number> = value =>
  Number.isInteger(value) && Number(value) > 0 && Number(value) < 65536
    ? E.right(Number(value))
    : E.left('expected a port from 1 to 65535, such as 7400');

const parseCount: Parser<number> = value =>
  Number.isInteger(value) && Number(value) >= 1 && Number(value) <= 1024
    ? E.right(Number(value))
    : E.left('expected a whole number from 1 to 1024');

const parseUrl: Parser<string> = value =>
  typeof value === 'string' && /^http:\/\/[0-9a-f.:[\]]+:\d{1,5}$/.test(value)
    ? E.right(value)
    : E.left('expected http://IP:port, such as "http://10.0.0.1:7000"');

const unitMs: Readonly<Record<string, number>> = {
  ms: 1,
  s: 1000,
  m: 60_000,
  h: 3_600_000,
};

const parseDuration: Parser<Millis> = value => {
  const match = /^(\d+)(ms|s|m|h)$/.exec(
    typeof value === 'string' ? value : '',
  );
  return match && Number(match[1]) > 0
    ? E.right(Number(match[1]) * unitMs[match[2]])
    : E.left(
        'expected a duration with its unit, such as "500ms", "2s", "5m" or "2h"',
      );
};

const parseSecret: Parser<string> = value =>
  typeof value === 'string' && value.length >= 16
    ? E.right(value)
    : E.left('expected a secret of at least 16 characters');

const parseLevel: Parser<LogLevel> = value =>
  logLevels.includes(value as LogLevel)
    ? E.right(value as LogLevel)
    : E.left(`expected one of ${logLevels.join(', ')}`);

const parseSeeds: Parser<readonly string[]> = value => {
  if (!Array.isArray(value)) return E.left('expected a list of IP:port');
  const bad = value.find(item => E.isLeft(parseAddress(item)));
  return bad === undefined
    ? E.right(value as string[])
    : E.left(`expected IP:port, got ${JSON.stringify(bad)}`);
};

const schema = {
  node: {
    id: makeKey(parseIdText),
    data_centre: makeKey(parseIdText),
    region: makeKey(parseIdText),
    address: makeKey(parseIp),
  },
  ports: {
    callers: makeKey(parsePort, 8080),
    data: makeKey(parsePort, 7400),
    peers: makeKey(parsePort, 7401),
    announce: makeKey(parsePort, 7402),
    admin: makeKey(parsePort, 7403),
  },
  advertise: {
    data: makeKey(parseAddress, ''),
    peers: makeKey(parseAddress, ''),
  },
  peers: {
    seeds: makeKey<readonly string[]>(parseSeeds, []),
    cluster_key: makeKey(parseSecret),
  },
  log: {
    url: makeKey(parseUrl),
    timeout: makeKey(parseDuration, 2000),
    config_stream: makeKey(parseIdText, 'config'),
    snapshot_every: makeKey(parseDuration, 1_800_000),
  },
  admin: {operator_token: makeKey(parseSecret)},
  keys: {
    window: makeKey(parseDuration, 7_200_000),
    partitions: makeKey(parseCount, 32),
  },
  shutdown: {grace: makeKey(parseDuration, 30_000)},
  logging: {level: makeKey<LogLevel>(parseLevel, 'info')},
} as const;

type Schema = typeof schema;

/** Checked settings of a node; each section and key as in the file. */
export type Settings = {
  readonly [S in keyof Schema]: {
    readonly [K in keyof Schema[S]]: Schema[S][K] extends Key<infer T>
      ? T
      : never;
  };
};

function makeError(path: string, key: string, problem: string): SettingsError {
  return new SettingsError(`${path}: ${key}: ${problem}`);
}

type SettingsError = InstanceType<typeof SettingsError>;

/** Checks the text of a settings file; the error names the file, the key and the remedy. */
export function parseSettings(
  path: string,
  text: string,
): E.Either<SettingsError, Settings> {
  let raw: Record<string, unknown>;
  try {
    raw = parse(text);
  } catch (error) {
    return E.left(makeError(path, 'TOML', describeError(error).split('\n')[0]));
  }
  for (const [section, keys] of Object.entries(raw)) {
    const known = (schema as Record<string, Record<string, unknown>>)[section];
    if (!known) {
      const sections = Object.keys(schema).join(', ');
      return E.left(
        makeError(
          path,
          section,
          `unknown section; the sections are ${sections}`,
        ),
      );
    }
    for (const key of Object.keys(keys as object)) {
      if (known[key]) continue;
      const names = Object.keys(known).join(', ');
      return E.left(
        makeError(
          path,
          `${section}.${key}`,
          `unknown key; the keys are ${names}`,
        ),
      );
    }
  }
  const settings: Record<string, Record<string, unknown>> = {};
  for (const [section, keys] of Object.entries(schema)) {
    settings[section] = {};
    for (const [key, rule] of Object.entries(keys) as [
      string,
      Key<unknown>,
    ][]) {
      const value = (raw[section] as Record<string, unknown>)?.[key];
      if (value === undefined && rule.preset === undefined) {
        return E.left(makeError(path, `${section}.${key}`, 'missing; add it'));
      }
      const parsed =
        value === undefined ? E.right(rule.preset) : rule.parse(value);
      if (E.isLeft(parsed)) {
        return E.left(
          makeError(
            path,
            `${section}.${key}`,
            `${parsed.left}, got ${JSON.stringify(value)}`,
          ),
        );
      }
      settings[section][key] = parsed.right;
    }
  }
  const checked = settings as unknown as Settings;
  const impossible = findImpossible(checked);
  return impossible
    ? E.left(makeError(path, impossible[0], impossible[1]))
    : E.right(checked);
}

function findImpossible(settings: Settings): [string, string] | undefined {
  const used = new Map<number, string>();
  for (const [name, port] of Object.entries(settings.ports)) {
    const other = used.get(port);
    if (other) {
      return [
        `ports.${name}`,
        `same port as ports.${other}; give each its own`,
      ];
    }
    used.set(port, name);
  }
  if (settings.admin.operator_token === settings.peers.cluster_key) {
    return [
      'admin.operator_token',
      'same secret as peers.cluster_key; give each its own',
    ];
  }
  return undefined;
}

/** Reads and checks a settings file. */
export function readSettings(path: string): E.Either<SettingsError, Settings> {
  let text: string;
  try {
    text = readFileSync(path, 'utf8');
  } catch (error) {
    return E.left(
      makeError(
        path,
        'file',
        `${describeError(error)}; give --config the path of a readable file`,
      ),
    );
  }
  return parseSettings(path, text);
}
