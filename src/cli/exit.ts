/** Exit codes of the program. */
export const exitCodes = {
  failed: 1,
  usage: 2,
  conflict: 3,
  unavailable: 4,
} as const;

/** Error that ends the program with a message and an exit code. */
export class CliError extends Error {
  constructor(
    message: string,
    readonly code: (typeof exitCodes)[keyof typeof exitCodes],
  ) {
    super(message);
  }
}

/** Makes the error for invalid arguments. */
export function makeUsageError(message: string): CliError {
  return new CliError(message, exitCodes.usage);
}
