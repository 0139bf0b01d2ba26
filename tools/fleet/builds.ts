/**
 * Which build of the programs each process runs: the present one, or, for half of the processes of each role, another
 * release's, as while a fleet is upgraded.
 */

import { join, resolve } from 'node:path';

/** The build that this file is part of. */
const PRESENT_BUILD = resolve(__dirname, '../..');

/** The builds that the processes of a fleet run. */
export interface Builds {
  /** The compiled program of a process; `index` counts the processes of its role from 0. */
  programOf: (role: string, index: number) => string;
}

/** All processes run the present build or, where `other` names another one's folder, every second of each role that one. */
export function makeBuilds(other?: string): Builds {
  function programOf(role: string, index: number): string {
    const isOther = other !== undefined && index % 2 === 1;
    return join(isOther ? resolve(other) : PRESENT_BUILD, 'src/programs', `${role}.js`);
  }
  return { programOf };
}
