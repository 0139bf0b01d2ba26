/**
 * How long a call of an operator or an application is worked on.
 */

import { Settings } from '../../shared/settings/settings';

/** How long a call is worked on before its caller is sent to another controller, as a ratio of the setting `ackMs`. */
const REPLY_TIMEOUT_RATIO = 0.18;

/** Callers try another controller after a second without a reply; one of unknown effect comes before that. */
const MAX_REPLY_TIMEOUT_MS = 900;

/** How long a call is worked on, in ms. */
export function replyTimeoutMs({ ackMs }: Settings): number {
  return Math.min(ackMs * REPLY_TIMEOUT_RATIO, MAX_REPLY_TIMEOUT_MS);
}
