/**
 * What may be wrong with a file of intents.
 */

/** One violation in a file of intents. The field names are sent to operators. */
export interface IntentViolation {
  /** Where in the file, such as `services[2].tenant`. */
  path: string;
  why: string;
}
