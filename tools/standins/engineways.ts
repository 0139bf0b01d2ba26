/**
 * How a stand-in engine is told to behave, and what it notes of what it did.
 */

import { EngineOrder } from '../../src/shared/contracts/engine';

/** How a stand-in engine behaves. */
export interface EngineWays {
  id: string;
  at: string;
  zone: string;
  model: string;
  weights: string;
  batch: number;
  queue: number;
  mostTokens: number;
  prefillMs: number;
  decodeMs: number;
  keepBatches: number;
  loseEvents: number;
  swapMs: number;
  odd?: 'skips' | 'repeats' | 'splices' | 'foreign';
  feed?: 'repeats' | 'back' | 'epoch';
  ledger: (entry: LedgerEntry) => void;
}

/** One thing that an engine really did. */
export interface LedgerEntry {
  kind: 'began' | 'ended' | 'broke' | 'turned' | 'order' | 'fenced';
  engine: string;
  at: number;
  takenAt?: number;
  request?: string;
  tenant?: string;
  salt?: string;
  weights?: string;
  repeatable?: boolean;
  urgent?: boolean;
  tag?: string;
  reused?: { tokens: number; madeBy: string[]; madeWeights: string[]; madeSalts: string[] };
  order?: EngineOrder;
}
