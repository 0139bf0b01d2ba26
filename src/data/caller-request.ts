import { PromptBlock } from '../shared/contracts/engine';
import { bodyField } from '../shared/transport/body-fields';
import { Service } from '../shared/state/intents';

/** What a caller asks for, as its body says it. */
export class GenerateBody {
  @bodyField('string', false) service?: string;
  @bodyField('string', false) label?: string;
  @bodyField('string', false) prompt?: string;
  @bodyField('list', false) tokens?: number[];
  @bodyField('number', false) maxTokens?: number;
  @bodyField('number', false) deadlineMs?: number;
}

/** A caller's request that was checked against keys, services and bounds. */
export interface CheckedRequest {
  tenant: string;
  salt: string;
  service: Service;
  parts: PromptBlock[];
  maxTokens: number;
  since: number;
  until: number;
  key?: string;
}

/** Whether a value is a token: a whole number from 0. */
export function isToken(t: unknown): boolean {
  return Number.isInteger(t) && (t as number) >= 0;
}

/** The tokens of all parts together. */
export function tokensOf(parts: readonly PromptBlock[]): number {
  let t = 0;
  for (const p of parts) t += p.size;
  return t;
}
