import ModernError from 'modern-errors';

/** Root of all errors of the product; each message names the remedy. */
export const FescuewheelError = ModernError.subclass('FescuewheelError');

/** A setting is missing, unknown or wrong. */
export const SettingsError = FescuewheelError.subclass('SettingsError');
/** The log service did not answer in time, or answered with an error. */
export const LogUnavailableError = FescuewheelError.subclass(
  'LogUnavailableError',
);
/** A value from outside does not have the expected shape. */
export const InvalidInputError = FescuewheelError.subclass('InvalidInputError');
/** The object named does not exist. */
export const NotFoundError = FescuewheelError.subclass('NotFoundError');
/** The act contradicts the present state. */
export const ConflictError = FescuewheelError.subclass('ConflictError');
/** The caller or peer did not prove who it is. */
export const UnauthorizedError = FescuewheelError.subclass('UnauthorizedError');
/** The node cannot serve yet, or no longer. */
export const UnavailableError = FescuewheelError.subclass('UnavailableError');

/** Text of any thrown value, for logs. */
export function describeError(error: unknown): string {
  if (error instanceof Error) {
    const code = (error as NodeJS.ErrnoException).code;
    return code ? `${error.message || error.name} (${code})` : error.message;
  }
  return String(error);
}
