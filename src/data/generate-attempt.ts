/**
 * One attempt of a request at an engine.
 */

import { CheckedRequest } from './caller-request';
import { EngineChoice } from './engine-selector';

/** An attempt at an engine. */
export interface GenerateAttempt {
  request: CheckedRequest;
  choice: EngineChoice;
  /** The id that each line of the answer must name. */
  runId: string;
}
