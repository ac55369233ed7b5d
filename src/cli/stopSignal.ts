/** Signals by which a daemon is told to stop. */

const STOP_SIGNALS = ["SIGTERM", "SIGINT"] as const;

/**
 * Waits for the first signal to stop. Further ones are ignored: without a listener they would end the process in the
 * middle of its requests, and the shutdown has a deadline of its own.
 *
 * @returns A promise that resolves on the first signal.
 */
export function waitForStopSignal(): Promise<void> {
  return new Promise((resolve) => {
    for (const signal of STOP_SIGNALS) {
      process.on(signal, () => {
        resolve();
      });
    }
  });
}
