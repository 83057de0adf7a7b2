import {parseArgs} from 'node:util';
import {makeUsageError} from './exit.js';

type OptionKind = 'number' | 'text' | 'flag';

interface IntentOption {
  readonly kind: OptionKind;
  readonly required?: boolean;
  /** Object of the change that holds the option; the change itself by default. */
  readonly parent?: 'rule';
}

/** How an intent on the command line maps to a change of the configuration. */
export interface Intent {
  /** Kind of the change. */
  readonly kind: string;
  /** Field of the change that takes the positional argument. */
  readonly argumentField: string;
  readonly options: Readonly<Record<string, IntentOption>>;
  readonly example: string;
}

const text: IntentOption = {kind: 'text'};
const number: IntentOption = {kind: 'number'};
const requiredText: IntentOption = {kind: 'text', required: true};
const requiredNumber: IntentOption = {kind: 'number', required: true};
const ruleNumber: IntentOption = {kind: 'number', parent: 'rule'};

function makeRemoval(name: string, example: string): Intent {
  return {kind: `remove-${name}`, argumentField: name, options: {}, example};
}

/** Intents by their name on the command line: `fescuewheel plan NAME`. */
export const intents: Readonly<Record<string, Intent>> = {
  'add-service': {
    kind: 'add-service',
    argumentField: 'service',
    options: {
      floor: requiredNumber,
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
    options: {service: requiredText, expected: requiredNumber},
    example: 'add-pool lookup-tamworth --service lookup-desk --expected 3',
  },
  'add-route': {
    kind: 'add-route',
    argumentField: 'route',
    options: {
      host: requiredText,
      'path-prefix': requiredText,
      service: requiredText,
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
      partner: requiredText,
      'token-hash': requiredText,
      'rate-per-second': number,
      concurrency: number,
    },
    example: 'add-account crew-7 --partner holbrook --token-hash SHA256HEX',
  },
  'add-capacity': {
    kind: 'add-capacity',
    argumentField: 'pool',
    options: {count: requiredNumber},
    example: 'add-capacity lookup-tamworth --count 2',
  },
  'remove-capacity': {
    kind: 'remove-capacity',
    argumentField: 'pool',
    options: {count: requiredNumber},
    example: 'remove-capacity lookup-tamworth --count 1',
  },
  retire: {
    kind: 'retire-server',
    argumentField: 'server',
    options: {service: requiredText},
    example: 'retire lookup-desk-4 --service lookup-desk',
  },
  'set-rule': {
    kind: 'set-rule',
    argumentField: 'service',
    options: {
      preset: text,
      'failure-threshold': ruleNumber,
      'slow-threshold': ruleNumber,
      'slow-factor': ruleNumber,
      'slow-floor-ms': ruleNumber,
      'eject-ms': ruleNumber,
      'max-eject-ms': ruleNumber,
      'probation-ms': ruleNumber,
      'common-cause-share': ruleNumber,
    },
    example: 'set-rule lookup-desk --preset prompt --slow-factor 4',
  },
  'set-floor': {
    kind: 'set-floor',
    argumentField: 'service',
    options: {floor: requiredNumber},
    example: 'set-floor lookup-desk --floor 5',
  },
  'set-limit': {
    kind: 'set-limit',
    argumentField: 'account',
    options: {'rate-per-second': requiredNumber, concurrency: requiredNumber},
    example: 'set-limit crew-7 --rate-per-second 50 --concurrency 10',
  },
  'set-partner': {
    kind: 'set-partner',
    argumentField: 'partner',
    options: {weight: requiredNumber},
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

type OptionValues = Readonly<Record<string, unknown>>;

/**
 * Parses options as strings without type coercion, so that an id such as 1e3 stays a string. `isFlagByOption` has the
 * options of the command; a flag takes no value.
 */
export function parseOptions(
  args: readonly string[],
  isFlagByOption: Readonly<Record<string, boolean>>,
): {
  readonly values: CommonOptions & OptionValues;
  readonly positionals: readonly string[];
} {
  const commandOptions = Object.entries(isFlagByOption).map(
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
        ...Object.fromEntries(commandOptions),
      },
    });
    // The first positional argument is the command.
    return {
      values: values as CommonOptions & OptionValues,
      positionals: positionals.slice(1),
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
  throw makeUsageError(`--${option} ${value}: expected a number`);
}

/** Builds the change for an intent; the node validates ranges and references. */
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
  const flagEntries = Object.entries(intent.options).map(
    ([option, {kind}]) => [option, kind === 'flag'] as const,
  );
  const {values, positionals} = parseOptions(
    args,
    Object.fromEntries(flagEntries),
  );
  if (positionals.length !== 2) {
    throw makeUsageError(
      `expected one ${intent.argumentField}, such as: fescuewheel plan ${intent.example}`,
    );
  }
  const change: Record<string, unknown> = {
    kind: intent.kind,
    [intent.argumentField]: positionals[1],
  };
  if (intent.kind === 'set-rule') change.rule = {};
  for (const [option, {kind, required, parent: within}] of Object.entries(
    intent.options,
  )) {
    const value = values[option];
    if (value === undefined && required) {
      throw makeUsageError(
        `--${option} is required, such as: fescuewheel plan ${intent.example}`,
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
