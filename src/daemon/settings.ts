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

interface SettingSpec<T> {
  readonly parse: Parser<T>;
  /** Value if the setting is missing; a setting without one is required. */
  readonly defaultValue?: T;
}

function makeSpec<T>(parser: Parser<T>, defaultValue?: T): SettingSpec<T> {
  return {parse: parser, defaultValue};
}

const parseIdText: Parser<string> = value =>
  typeof value === 'string' && isValidId(value)
    ? E.right(value)
    : E.left('expected 1 to 64 of a-z 0-9 . _ -');

const parseIp: Parser<string> = value =>
  typeof value === 'string' && /^[0-9a-f.:]+$/.test(value)
    ? E.right(value)
    : E.left('expected an IP address, such as "10.0.0.1"');

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
    : E.left('expected an integer from 1 to 1024');

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
    id: makeSpec(parseIdText),
    data_centre: makeSpec(parseIdText),
    region: makeSpec(parseIdText),
    address: makeSpec(parseIp),
  },
  ports: {
    callers: makeSpec(parsePort, 8080),
    data: makeSpec(parsePort, 7400),
    peers: makeSpec(parsePort, 7401),
    announce: makeSpec(parsePort, 7402),
    admin: makeSpec(parsePort, 7403),
  },
  advertise: {
    data: makeSpec(parseAddress, ''),
    peers: makeSpec(parseAddress, ''),
  },
  peers: {
    seeds: makeSpec<readonly string[]>(parseSeeds, []),
    cluster_key: makeSpec(parseSecret),
  },
  log: {
    url: makeSpec(parseUrl),
    timeout: makeSpec(parseDuration, 2000),
    config_stream: makeSpec(parseIdText, 'config'),
    snapshot_every: makeSpec(parseDuration, 1_800_000),
  },
  admin: {operator_token: makeSpec(parseSecret)},
  keys: {
    window: makeSpec(parseDuration, 7_200_000),
    partitions: makeSpec(parseCount, 32),
  },
  shutdown: {grace: makeSpec(parseDuration, 30_000)},
  logging: {level: makeSpec<LogLevel>(parseLevel, 'info')},
} as const;

type Schema = typeof schema;

/** Validated settings of a node, with the sections and keys of the file. */
export type Settings = {
  readonly [S in keyof Schema]: {
    readonly [K in keyof Schema[S]]: Schema[S][K] extends SettingSpec<infer T>
      ? T
      : never;
  };
};

function makeSettingsError(
  path: string,
  key: string,
  problem: string,
): SettingsError {
  return new SettingsError(`${path}: ${key}: ${problem}`);
}

type SettingsError = InstanceType<typeof SettingsError>;

/** Validates the text of a settings file; an error names the file, the key and how to fix it. */
export function parseSettings(
  path: string,
  text: string,
): E.Either<SettingsError, Settings> {
  let raw: Record<string, unknown>;
  try {
    raw = parse(text);
  } catch (error) {
    return E.left(
      makeSettingsError(path, 'TOML', describeError(error).split('\n')[0]),
    );
  }
  for (const [section, keys] of Object.entries(raw)) {
    const known = (schema as Record<string, Record<string, unknown>>)[section];
    if (!known) {
      const sections = Object.keys(schema).join(', ');
      return E.left(
        makeSettingsError(
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
        makeSettingsError(
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
    for (const [key, spec] of Object.entries(keys) as [
      string,
      SettingSpec<unknown>,
    ][]) {
      const value = (raw[section] as Record<string, unknown>)?.[key];
      if (value === undefined && spec.defaultValue === undefined) {
        return E.left(
          makeSettingsError(path, `${section}.${key}`, 'missing; add it'),
        );
      }
      const parsed =
        value === undefined ? E.right(spec.defaultValue) : spec.parse(value);
      if (E.isLeft(parsed)) {
        return E.left(
          makeSettingsError(
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
  const conflict = findConflict(checked);
  return conflict
    ? E.left(makeSettingsError(path, conflict[0], conflict[1]))
    : E.right(checked);
}

/** Finds two settings that are valid but must differ; returns the key of one and the problem. */
function findConflict(settings: Settings): [string, string] | undefined {
  const nameByPort = new Map<number, string>();
  for (const [name, port] of Object.entries(settings.ports)) {
    const other = nameByPort.get(port);
    if (other) {
      return [
        `ports.${name}`,
        `same port as ports.${other}; use a different port`,
      ];
    }
    nameByPort.set(port, name);
  }
  if (settings.admin.operator_token === settings.peers.cluster_key) {
    return [
      'admin.operator_token',
      'same secret as peers.cluster_key; use a different secret',
    ];
  }
  return undefined;
}

/** Reads and validates a settings file. */
export function readSettings(path: string): E.Either<SettingsError, Settings> {
  let text: string;
  try {
    text = readFileSync(path, 'utf8');
  } catch (error) {
    return E.left(
      makeSettingsError(
        path,
        'file',
        `${describeError(error)}; set --config to the path of a readable file`,
      ),
    );
  }
  return parseSettings(path, text);
}
