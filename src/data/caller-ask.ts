import { Part } from '../shared/contracts/engine';
import { field } from '../shared/transport/handlers';
import { Service } from '../shared/state/words';

/** What a caller asks for, as its body says it. */
export class CallerAsk {
  @field('string', false) service?: string;
  @field('string', false) label?: string;
  @field('string', false) prompt?: string;
  @field('list', false) tokens?: number[];
  @field('number', false) maxTokens?: number;
  @field('number', false) deadlineMs?: number;
}

/** A caller's request that was checked against keys, services and bounds. */
export interface CheckedAsk {
  tenant: string;
  salt: string;
  service: Service;
  parts: Part[];
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
export function tokensOf(parts: readonly Part[]): number {
  let t = 0;
  for (const p of parts) t += p.size;
  return t;
}
