import type {CAC} from 'cac';

/** Prints a message, to standard error if the exit code is not 0, and exits the process. */
export function exitWith(code: number, message: string): never {
  (code === 0 ? console.log : console.error)(message);
  process.exit(code);
}

/** Runs the command given by the process arguments; prints an error after the program name and exits with 1. */
export async function runProgram(name: string, cli: CAC): Promise<void> {
  try {
    cli.parse(process.argv, {run: false});
    await cli.runMatchedCommand();
  } catch (error) {
    exitWith(1, `${name}: ${(error as Error).message}`);
  }
}
