/**
 * Ending a program in order: it drains at the first signal, stops, and exits.
 */

import { RunningService } from './running-service';

/** The signals that end a program. */
export type EndSignal = 'SIGTERM' | 'SIGINT';

/**
 * Makes the handler of the signals that end a program. A SIGTERM that comes again changes nothing, since several senders
 * may want the same end; a SIGINT that comes again is a person's who won't wait.
 */
export function makeShutdown(
  service: RunningService,
  exit: (code: number) => void,
): (signal: EndSignal) => void {
  let isEnding = false;

  async function end(): Promise<void> {
    await service.drain();
    await service.stop();
    exit(0);
  }

  function onSignal(signal: EndSignal): void {
    if (isEnding && signal === 'SIGINT') return exit(1);
    if (isEnding) return;
    isEnding = true;
    void end();
  }

  return onSignal;
}
