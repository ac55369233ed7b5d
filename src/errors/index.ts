/** Error classes. Each error carries the step and the peer at which it arose. */
import ModernError from "modern-errors";

/** Where an error arose. */
export interface ErrorContext {
  /** The step that failed, for example `read configuration`. */
  readonly step: string;
  /** The peer at that step: a daemon, backend server or platform address. */
  readonly peer?: string;
  /** Code of the system error behind it. */
  readonly code?: string | undefined;
}

/** An error with its place. */
export type ContextualError = Error & ErrorContext;

/** A class of errors with a place. */
export interface ContextualErrorClass {
  new (message: string, options: { readonly props: ErrorContext; readonly cause?: unknown }): ContextualError;
  readonly prototype: ContextualError;
  /** Derives a class. */
  subclass(name: string): ContextualErrorClass;
}

/** Base of all expected errors. */
export const HemlockbankError = ModernError.subclass("HemlockbankError") as unknown as ContextualErrorClass;

/** Input from an operator is wrong; the command ends with exit code 2. */
export const InputError = HemlockbankError.subclass("InputError");

/** The platform did not answer, or its answer was lost. */
export const PlatformUnavailableError = HemlockbankError.subclass("PlatformUnavailableError");

/** The object API no longer knows the changes since the asked version; list the objects again. */
export const HistoryGoneError = HemlockbankError.subclass("HistoryGoneError");

/** A backend server did not answer a control call. */
export const ServerUnreachableError = HemlockbankError.subclass("ServerUnreachableError");

/** A peer daemon did not answer or broke the protocol. */
export const PeerError = HemlockbankError.subclass("PeerError");

/**
 * Describes an unknown thrown value in one line.
 *
 * @param error - The thrown value.
 * @returns Its message.
 */
export function describeError(error: unknown): string {
  if (!(error instanceof Error)) {
    return String(error);
  }
  const code = (error as NodeJS.ErrnoException).code;
  return code === undefined || error.message.includes(code) ? error.message : `${error.message} (${code})`;
}
