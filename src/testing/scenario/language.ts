import {readFileSync} from 'node:fs';
import {
  CucumberExpression,
  ParameterTypeRegistry,
} from '@cucumber/cucumber-expressions';
import {
  AstBuilder,
  GherkinClassicTokenMatcher,
  Parser,
} from '@cucumber/gherkin';
import {IdGenerator} from '@cucumber/messages';

/** What a step does with the world of its scenario. */
export type StepAction<World> = (
  world: World,
  ...args: never[]
) => Promise<void> | void;

/** One sentence of the scenario language. */
export interface StepDefinition<World> {
  readonly expression: CucumberExpression;
  readonly action: StepAction<World>;
}

/** A scenario with its steps matched. */
export interface Scenario<World> {
  readonly name: string;
  readonly steps: readonly {
    readonly text: string;
    run(world: World): Promise<void>;
  }[];
}

const parameterTypes = new ParameterTypeRegistry();

/** Defines a sentence; parameters are those of Cucumber expressions, such as {int} and {word}. */
export function makeStep<World>(
  sentence: string,
  action: StepAction<World>,
): StepDefinition<World> {
  return {expression: new CucumberExpression(sentence, parameterTypes), action};
}

/** Reads a feature file; throws for a step that matches no sentence, or more than one. */
export function readScenarios<World>(
  path: string,
  definitions: readonly StepDefinition<World>[],
): readonly Scenario<World>[] {
  const parser = new Parser(
    new AstBuilder(IdGenerator.incrementing()),
    new GherkinClassicTokenMatcher(),
  );
  const {feature} = parser.parse(readFileSync(path, 'utf8'));
  const background = (feature?.children ?? []).flatMap(
    child => child.background?.steps ?? [],
  );
  return (feature?.children ?? []).flatMap(({scenario}) => {
    if (!scenario) return [];
    const steps = [...background, ...scenario.steps].map(({text}) =>
      matchStep(path, text, definitions),
    );
    return [{name: scenario.name, steps}];
  });
}

function matchStep<World>(
  path: string,
  text: string,
  definitions: readonly StepDefinition<World>[],
): Scenario<World>['steps'][number] {
  const matches = definitions.flatMap(({expression, action}) => {
    const args = expression.match(text);
    return args ? [{args, action}] : [];
  });
  if (matches.length !== 1) {
    throw new Error(`${path}: ${matches.length} sentences match "${text}"`);
  }
  const [{args, action}] = matches;
  return {
    text,
    run: async world =>
      action(world, ...(args.map(arg => arg.getValue(null)) as never[])),
  };
}
