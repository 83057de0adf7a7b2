/** Exit codes of the program. */
export const exitCodes = {
  failed: 1,
  usage: 2,
  conflict: 3,
  unavailable: 4,
} as const;

/** Ends the program with a message and an exit code. */
export class CliError extends Error {
  constructor(
    message: string,
    readonly code: (typeof exitCodes)[keyof typeof exitCodes],
  ) {
    super(message);
  }
}

/** An error in how the program was called. */
export function makeUsageError(message: string): CliError {
  return new CliError(message, exitCodes.usage);
}
