/**
 * How parts of prompts come to a stand-in engine from another source, and go from it to a target.
 */

import { Keeper, KeptPart } from './cache';
import { Ground, H } from './ground';
import { EngineSpec, Job } from './jobs';

/** What the transfers are told of their engine. */
export interface TransfersOf {
  ground: Ground;
  spec: EngineSpec;
  keeper: Keeper;
  versions: Map<string, number>;
}

/** The transfers of one engine. */
export interface Transfers {
  /** What a source keeps of the prompt beyond one's own, and how long the move takes. */
  fetch: (j: Job, had: KeptPart[]) => { parts: KeptPart[]; ms: number };
  /** Keeps the parts of a prompt that was read, and sends them to the target that it names. */
  keepParts: (j: Job) => void;
}

/** Makes the transfers of one engine's life. */
export function makeTransfers({ ground, spec, keeper, versions }: TransfersOf): Transfers {
  const { clock, book } = ground;
  let linkFree = 0;

  function fetch(j: Job, had: KeptPart[]): { parts: KeptPart[]; ms: number } {
    const at = j.x.headers[H.source];
    const none = { parts: [], ms: 0 };
    if (at === undefined) return none;
    const source = ground.sources.get(at);
    if (!source?.alive()) return { parts: [], ms: 150 };
    const theirs = source.keeper.match(j.model, j.salt, j.parts);
    const more: KeptPart[] = [];
    let tokens = 0;
    for (let i = had.length; i < theirs.length; i++) {
      more.push({ ...theirs[i] });
      tokens += theirs[i].tokens;
    }
    if (more.length === 0) return { parts: [], ms: 1 };
    source.keeper.touch(theirs);
    const now = clock.now();
    const far = source.zone === spec.zone ? 1 : 2;
    const ms =
      ((tokens * spec.kvTokenBytes * 8) / (spec.bandwidthMbps * 1000)) * far * ground.links.slow;
    if (linkFree - now > 2000) return none;
    linkFree = Math.max(now, linkFree) + ms;
    book.movedTokens += tokens;
    return { parts: more, ms: linkFree - now };
  }

  function keepParts(j: Job): void {
    const version = versions.get(j.model) ?? 1;
    keeper.release(j.tokensIn);
    j.held -= j.tokensIn;
    const fresh: KeptPart[] = [];
    for (const p of j.parts) {
      const mine = {
        salt: j.salt,
        id: p.id,
        model: j.model,
        tokens: p.tokens,
        size: p.tokens,
        version: madeUnder(j, p.id) ?? version,
        tenant: madeBy(j, p.id),
      };
      keeper.put(mine);
      fresh.push(mine);
    }
    const at = j.x.headers[H.target];
    const target = at === undefined ? undefined : ground.sources.get(at);
    if (!target?.alive()) return;
    function arrive(): void {
      if (target!.alive()) for (const p of fresh) target!.keeper.put(p);
    }
    clock.setTimer(
      ((j.tokensIn * spec.kvTokenBytes * 8) / (spec.bandwidthMbps * 1000)) * ground.links.slow,
      arrive,
    );
  }

  function madeUnder(j: Job, id: string): number | undefined {
    for (const u of j.run!.used) if (u.id === id) return u.version;
    return undefined;
  }

  function madeBy(j: Job, id: string): string | undefined {
    for (const u of j.run!.used) if (u.id === id) return u.tenant;
    return j.run!.tenant;
  }

  return { fetch, keepParts };
}
