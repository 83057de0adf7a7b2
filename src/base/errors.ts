import ModernError from 'modern-errors';

/** Base class of the project's errors; each message says how to resolve the problem. */
export const FescuewheelError = ModernError.subclass('FescuewheelError');

/** A setting is missing, unknown or wrong. */
export const SettingsError = FescuewheelError.subclass('SettingsError');
/** The log service is unreachable, did not respond in time, or responded with an error. */
export const LogUnavailableError = FescuewheelError.subclass(
  'LogUnavailableError',
);
/** An untrusted value does not have the expected shape. */
export const InvalidInputError = FescuewheelError.subclass('InvalidInputError');
/** The named object does not exist. */
export const NotFoundError = FescuewheelError.subclass('NotFoundError');
/** The operation conflicts with the current state. */
export const ConflictError = FescuewheelError.subclass('ConflictError');
/** The caller or peer is not authenticated. */
export const UnauthorizedError = FescuewheelError.subclass('UnauthorizedError');
/** The node cannot serve yet, or no longer. */
export const UnavailableError = FescuewheelError.subclass('UnavailableError');

/** Describes any thrown value for logs. */
export function describeError(error: unknown): string {
  if (error instanceof Error) {
    const code = (error as NodeJS.ErrnoException).code;
    return code ? `${error.message || error.name} (${code})` : error.message;
  }
  return String(error);
}
