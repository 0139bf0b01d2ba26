/**
 * The names of control keys, as they are sent and stored.
 */

/** The names of control keys. */
export const CONTROL_KEYS = {
  voters: 'voters',
  intents: 'intents',
  engines: 'engines',
  tenantKeys: 'keys/',
  weights: 'weights/',
  deployment: 'deployment',
  duty: 'duty/',
  evacuations: 'evacuations',
} as const;
