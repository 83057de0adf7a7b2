import {
  ConflictError,
  InvalidInputError,
  LogUnavailableError,
  NotFoundError,
  UnauthorizedError,
  UnavailableError,
} from '../base/index.js';

/** Body of an error response. */
export interface ErrorBody {
  readonly error: {
    readonly kind: string;
    readonly message: string;
    /** Path of the invalid field. */
    readonly field?: string;
    /** Whether a plan or confirmation that was not read back may still take effect. */
    readonly mayTakeEffect?: boolean;
  };
}

/** Returns the HTTP status of an error. */
export function getErrorStatus(error: unknown): number {
  if (error instanceof UnauthorizedError) return 401;
  if (error instanceof InvalidInputError) return 400;
  if (error instanceof NotFoundError) return 404;
  if (error instanceof ConflictError) return 409;
  if (error instanceof LogUnavailableError) return 503;
  if (error instanceof UnavailableError) return 503;
  return (error as {statusCode?: number}).statusCode ?? 500;
}

/** Makes the response body of an error; the message of an unexpected error is not exposed. */
export function makeErrorBody(error: unknown): ErrorBody {
  const {name, message} = error as Error;
  if (getErrorStatus(error) === 500) {
    return {
      error: {
        kind: 'InternalError',
        message: 'internal error; see the log of this node',
      },
    };
  }
  const field =
    error instanceof InvalidInputError
      ? /^([\w.]+): /.exec(message)?.[1]
      : undefined;
  const {mayTakeEffect} = error as {mayTakeEffect?: boolean};
  return {
    error: {
      kind: name,
      message,
      ...(field !== undefined && {field}),
      ...(mayTakeEffect !== undefined && {mayTakeEffect}),
    },
  };
}
