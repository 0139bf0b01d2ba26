/**
 * What a hollow fleet's process is told at its start, asked, and answers.
 */

import { Settings } from '../../src/shared/settings/settings';
import { Figures } from './meter';
import { SourceWays } from './sources';

/** What a process of the hollow fleet is to be: a real controller or indexer, some nodes that only follow the core, some whole routers, or some hollow sources. */
export type RoleWays =
  | { role: 'controller' | 'indexer'; settings: Settings }
  | { role: 'nodes' | 'routers'; settings: Settings[] }
  | { role: 'sources'; dialect: string; sources: SourceWays[] };

/** What the runner asks of a process; `gc` has it free what is unused first. */
export interface RoleAsk {
  n: number;
  gc?: boolean;
}

/** Its return. */
export interface RoleAnswer {
  n: number;
  figures: Figures;
}
