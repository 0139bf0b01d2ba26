/**
 * A caller's request: its body as it came, and as it was checked.
 */

import { PromptBlock } from '../shared/contracts/engine';
import { bodyField } from '../shared/transport/body-fields';
import { Service } from '../shared/state/intents';

/** The body of `POST /v1/generate`. */
export class GenerateBody {
  @bodyField('string', false) service?: string;
  @bodyField('string', false) label?: string;
  @bodyField('string', false) prompt?: string;
  @bodyField('list', false) tokens?: number[];
  @bodyField('number', false) maxTokens?: number;
  @bodyField('number', false) deadlineMs?: number;
}

/** A request that was checked against keys, services and bounds. Times are ms of the clock port. */
export interface CheckedRequest {
  tenant: string;
  /** The salt under which engines cache the tenant's blocks. */
  salt: string;
  service: Service;
  blocks: PromptBlock[];
  maxTokens: number;
  arrivedAt: number;
  deadlineAt: number;
  /** The idempotency key's hash, where the service may run only once. */
  idempotencyKey?: string;
}

/** Whether a value is a token: a whole number from 0. */
export function isToken(value: unknown): boolean {
  return Number.isInteger(value) && (value as number) >= 0;
}

/** The tokens of all blocks together. */
export function tokensOf(blocks: readonly PromptBlock[]): number {
  let tokens = 0;
  for (const { size } of blocks) tokens += size;
  return tokens;
}

/** Whether a request is urgent. */
export function isUrgent({ service }: CheckedRequest): boolean {
  return service.urgency === 'high';
}
