import {readFileSync} from 'node:fs';
import {
  CucumberExpression,
  ParameterTypeRegistry,
} from '@cucumber/cucumber-expressions';
import {
  AstBuilder,
  compile,
  GherkinClassicTokenMatcher,
  Parser,
} from '@cucumber/gherkin';
import {IdGenerator} from '@cucumber/messages';

/** Code of a step; `world` is the state that the steps of one scenario share. */
export type StepAction<World> = (
  world: World,
  ...args: never[]
) => Promise<void> | void;

/** An expression that step texts are matched against, and the code to run. */
export interface StepDefinition<World> {
  readonly expression: CucumberExpression;
  readonly action: StepAction<World>;
}

/** A scenario whose steps have been matched with their definitions. */
export interface Scenario<World> {
  readonly name: string;
  readonly steps: readonly {
    readonly text: string;
    run(world: World): Promise<void>;
  }[];
}

const parameterTypes = new ParameterTypeRegistry();

/** Defines a step by a Cucumber expression, with parameters such as {int} and {word}. */
export function makeStep<World>(
  expression: string,
  action: StepAction<World>,
): StepDefinition<World> {
  return {
    expression: new CucumberExpression(expression, parameterTypes),
    action,
  };
}

/** Reads a feature file; throws for a step that matches no definition, or more than one. */
export function readScenarios<World>(
  path: string,
  definitions: readonly StepDefinition<World>[],
): readonly Scenario<World>[] {
  const makeId = IdGenerator.incrementing();
  const parser = new Parser(
    new AstBuilder(makeId),
    new GherkinClassicTokenMatcher(),
  );
  const document = parser.parse(readFileSync(path, 'utf8'));
  // A pickle is a scenario with its background, or one row of an outline's examples.
  return compile(document, path, makeId).map(pickle => ({
    name: pickle.name,
    steps: pickle.steps.map(({text}) => matchStep(path, text, definitions)),
  }));
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
    throw new Error(
      `${path}: ${matches.length} step definitions match "${text}"`,
    );
  }
  const [{args, action}] = matches;
  return {
    text,
    run: async world =>
      action(world, ...(args.map(arg => arg.getValue(null)) as never[])),
  };
}
