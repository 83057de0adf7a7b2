import type {CAC} from 'cac';

/** Prints a last message, to standard error if the code tells a failure, and ends the process. */
export function exitWith(code: number, message: string): never {
  (code === 0 ? console.log : console.error)(message);
  process.exit(code);
}

/** Runs the command that the arguments name; an error ends the process with the program's name before it. */
export async function runProgram(name: string, cli: CAC): Promise<void> {
  try {
    cli.parse(process.argv, {run: false});
    await cli.runMatchedCommand();
  } catch (error) {
    exitWith(1, `${name}: ${(error as Error).message}`);
  }
}
