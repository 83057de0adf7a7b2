import {parseArgs} from 'node:util';
import {makeUsageError} from './exit.js';

type OptionKind = 'number' | 'text' | 'flag';

interface IntentOption {
  readonly kind: OptionKind;
  readonly required?: boolean;
  /** The option belongs to this object within the change. */
  readonly parent?: 'rule';
}

/** How an intent on the command line becomes a change. */
export interface Intent {
  /** Kind of the change. */
  readonly kind: string;
  /** Field that the positional argument fills. */
  readonly argumentField: string;
  readonly options: Readonly<Record<string, IntentOption>>;
  readonly example: string;
}

const text: IntentOption = {kind: 'text'};
const number: IntentOption = {kind: 'number'};
const needsText: IntentOption = {kind: 'text', required: true};
const needsNumber: IntentOption = {kind: 'number', required: true};
const ruleFigure: IntentOption = {kind: 'number', parent: 'rule'};

function makeRemoval(name: string, example: string): Intent {
  return {kind: `remove-${name}`, argumentField: name, options: {}, example};
}

/** Intents by their name after `fescuewheel plan`. */
export const intents: Readonly<Record<string, Intent>> = {
  'add-service': {
    kind: 'add-service',
    argumentField: 'service',
    options: {
      floor: needsNumber,
      preset: text,
      'timeout-ms': number,
      'stall-ms': number,
      'queue-per-server': number,
    },
    example: 'add-service lookup-desk --floor 6 --preset prompt',
  },
  'add-pool': {
    kind: 'add-pool',
    argumentField: 'pool',
    options: {service: needsText, expected: needsNumber},
    example: 'add-pool lookup-tamworth --service lookup-desk --expected 3',
  },
  'add-route': {
    kind: 'add-route',
    argumentField: 'route',
    options: {
      host: needsText,
      'path-prefix': needsText,
      service: needsText,
      idempotent: text,
      'require-key': {kind: 'flag'},
    },
    example:
      "add-route last --host '*' --path-prefix /last --service lookup-desk",
  },
  'add-account': {
    kind: 'add-account',
    argumentField: 'account',
    options: {
      partner: needsText,
      'token-hash': needsText,
      'rate-per-second': number,
      concurrency: number,
    },
    example: 'add-account crew-7 --partner holbrook --token-hash SHA256HEX',
  },
  'add-capacity': {
    kind: 'add-capacity',
    argumentField: 'pool',
    options: {count: needsNumber},
    example: 'add-capacity lookup-tamworth --count 2',
  },
  'remove-capacity': {
    kind: 'remove-capacity',
    argumentField: 'pool',
    options: {count: needsNumber},
    example: 'remove-capacity lookup-tamworth --count 1',
  },
  retire: {
    kind: 'retire-server',
    argumentField: 'server',
    options: {service: needsText},
    example: 'retire lookup-desk-4 --service lookup-desk',
  },
  'set-rule': {
    kind: 'set-rule',
    argumentField: 'service',
    options: {
      preset: text,
      'failure-threshold': ruleFigure,
      'slow-threshold': ruleFigure,
      'slow-factor': ruleFigure,
      'slow-floor-ms': ruleFigure,
      'eject-ms': ruleFigure,
      'max-eject-ms': ruleFigure,
      'probation-ms': ruleFigure,
      'common-cause-share': ruleFigure,
    },
    example: 'set-rule lookup-desk --preset prompt --slow-factor 4',
  },
  'set-floor': {
    kind: 'set-floor',
    argumentField: 'service',
    options: {floor: needsNumber},
    example: 'set-floor lookup-desk --floor 5',
  },
  'set-limit': {
    kind: 'set-limit',
    argumentField: 'account',
    options: {'rate-per-second': needsNumber, concurrency: needsNumber},
    example: 'set-limit crew-7 --rate-per-second 50 --concurrency 10',
  },
  'set-partner': {
    kind: 'set-partner',
    argumentField: 'partner',
    options: {weight: needsNumber},
    example: 'set-partner holbrook --weight 1',
  },
  'remove-service': makeRemoval('service', 'remove-service cert-office'),
  'remove-pool': makeRemoval('pool', 'remove-pool lookup-tamworth'),
  'remove-route': makeRemoval('route', 'remove-route last'),
  'remove-account': makeRemoval('account', 'remove-account crew-7'),
  'remove-partner': makeRemoval('partner', 'remove-partner holbrook'),
  'remove-retirement': {
    kind: 'remove-retirement',
    argumentField: 'server',
    options: {},
    example: 'remove-retirement lookup-desk-4',
  },
};

/** Options that every command takes. */
export interface CommonOptions {
  readonly node?: readonly string[];
  readonly token?: string;
  readonly json?: boolean;
}

type Values = Readonly<Record<string, unknown>>;

/**
 * Reads the options as texts and without guessing: an id such as 1e3 stays a text. `names` are the options of the
 * command; true marks a flag.
 */
export function parseOptions(
  args: readonly string[],
  names: Readonly<Record<string, boolean>>,
): {readonly values: CommonOptions & Values; readonly rest: readonly string[]} {
  const own = Object.entries(names).map(
    ([name, isFlag]) =>
      [name, {type: isFlag ? 'boolean' : 'string'} as const] as const,
  );
  try {
    const {values, positionals} = parseArgs({
      args: [...args],
      allowPositionals: true,
      options: {
        node: {type: 'string', multiple: true},
        token: {type: 'string'},
        json: {type: 'boolean'},
        ...Object.fromEntries(own),
      },
    });
    // The first positional argument is the command.
    return {
      values: values as CommonOptions & Values,
      rest: positionals.slice(1),
    };
  } catch (error) {
    throw makeUsageError(
      `${(error as Error).message.split('. ')[0]}; see --help`,
    );
  }
}

function makeFieldName(option: string): string {
  return option.replace(/-([a-z])/g, (_match, letter) =>
    String(letter).toUpperCase(),
  );
}

function parseNumber(option: string, value: string): number {
  const parsed = Number(value);
  if (value.trim() !== '' && Number.isFinite(parsed)) return parsed;
  throw makeUsageError(`--${option} ${value}: give a number`);
}

/** Makes the change of an intent; the node checks ranges and references. */
export function makeChange(
  name: string,
  args: readonly string[],
): {change: Record<string, unknown>; values: CommonOptions} {
  const intent = Object.hasOwn(intents, name) ? intents[name] : undefined;
  if (!intent) {
    throw makeUsageError(
      `unknown intent ${name}; the intents are ${Object.keys(intents).join(', ')}, file`,
    );
  }
  const names = Object.entries(intent.options).map(
    ([option, {kind}]) => [option, kind === 'flag'] as const,
  );
  const {values, rest} = parseOptions(args, Object.fromEntries(names));
  if (rest.length !== 2) {
    throw makeUsageError(
      `give one ${intent.argumentField}, such as: fescuewheel plan ${intent.example}`,
    );
  }
  const change: Record<string, unknown> = {
    kind: intent.kind,
    [intent.argumentField]: rest[1],
  };
  if (intent.kind === 'set-rule') change.rule = {};
  for (const [option, {kind, required, parent: within}] of Object.entries(
    intent.options,
  )) {
    const value = values[option];
    if (value === undefined && required) {
      throw makeUsageError(
        `--${option} is missing, such as: fescuewheel plan ${intent.example}`,
      );
    }
    if (value === undefined) continue;
    const parsed =
      kind === 'number' ? parseNumber(option, String(value)) : value;
    const target = within
      ? (change[within] as Record<string, unknown>)
      : change;
    target[makeFieldName(option)] = parsed;
  }
  return {change, values};
}
