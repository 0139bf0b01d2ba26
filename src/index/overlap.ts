import { Right } from 'purify-ts';
import { PeerChannel } from '../shared/transport/connections';
import { HandlerResult, messageHandler } from '../shared/transport/message-handlers';
import { failure } from '../shared/errors/errors';
import {
  LoadReportBody,
  LoadReport,
  OverlapReply,
  OverlapRequest,
  OverlapRequestBody,
  PlacementNoticeBody,
  PlacementNotice,
  WireBlock,
} from '../shared/contracts/indexer';
import { Coming } from './coming';
import { Loads } from './loads';
import { Trees } from './tree';

interface Walk {
  kept: number;
  coming: number;
  /** Whether all so far is kept whole. */
  whole: boolean;
}

/** Walks a prompt from its front: what each source keeps of it, and what is on its way there beyond that. */
export function overlapOf(
  trees: Trees,
  coming: Coming,
  q: OverlapRequest,
  reached: (source: string) => boolean = always,
): OverlapReply {
  const walks = new Map<string, Walk>();
  let alive = new Set<string>();
  for (const [i, [hash, size]] of q.parts.entries()) {
    const next = new Set<string>();
    const comes = coming.at(q.model, q.salt, hash);
    for (const h of trees.holders(q.model, q.salt, hash) ?? []) step(h.source, h.kept);
    for (const source of comes?.keys() ?? []) if (!next.has(source)) step(source, 0);
    if (next.size === 0) break;
    alive = next;

    function step(source: string, kept: number): void {
      if (i > 0 && !alive.has(source)) return;
      const w = walks.get(source) ?? { kept: 0, coming: 0, whole: true };
      walks.set(source, w);
      const has = Math.min(kept, size);
      if (w.whole) w.kept += has;
      else if (has === size) w.coming += size;
      if (has === size) {
        next.add(source);
        return;
      }
      if (!comes?.has(source)) return;
      w.coming += w.whole ? size - has : size;
      w.whole = false;
      next.add(source);
    }
  }
  trees.learn(q.model, q.salt, q.parts);
  const out: OverlapReply = [];
  for (const [source, w] of walks)
    if ((w.kept > 0 || w.coming > 0) && reached(source)) out.push([source, w.kept, w.coming]);
  return out;
}

function always(): boolean {
  return true;
}

/** What routers say to an indexer about prompts and loads. */
export class OverlapEdge {
  private readonly watched = new WeakSet<object>();

  constructor(
    private readonly trees: Trees,
    private readonly coming: Coming,
    private readonly loads: Loads,
    private readonly reached: (source: string) => boolean,
    private readonly ready: () => boolean,
  ) {}

  private watch(ex: PeerChannel): void {
    if (this.watched.has(ex)) return;
    this.watched.add(ex);
    void ex.closed.then(this.gone.bind(this, ex));
  }

  private note(ex: PeerChannel, p: PlacementNotice): void {
    const trees = this.trees;
    function keeps([hash, size]: WireBlock): boolean {
      for (const h of trees.holders(p.model, p.salt, hash) ?? [])
        if (h.source === p.engine) return h.kept >= size;
      return false;
    }
    this.coming.placed(ex, p, keeps);
  }

  private gone(ex: PeerChannel): void {
    this.coming.dropRouter(ex);
    this.loads.drop(ex);
  }

  /** Tells how much of a prompt each source keeps; refused until the gate is open. */
  @messageHandler('overlap', OverlapRequestBody)
  async overlap(q: OverlapRequest): HandlerResult {
    if (!this.ready())
      return failure('overlap', '', 'the gate is not open yet', 'refused', 'not-ready');
    return Right(overlapOf(this.trees, this.coming, q, this.reached));
  }

  /** Takes a router's note of a request that it placed. */
  @messageHandler('placed', PlacementNoticeBody)
  async placed(p: PlacementNotice, ex: PeerChannel): HandlerResult {
    this.trees.learn(p.model, p.salt, p.parts);
    this.note(ex, p);
    if (p.store !== undefined) this.note(ex, { ...p, engine: p.store });
    this.watch(ex);
    return Right(undefined);
  }

  /** Takes a router's loads and tells those of the others. */
  @messageHandler('loads', LoadReportBody)
  async load(t: LoadReport, ex: PeerChannel): HandlerResult {
    this.watch(ex);
    return Right(this.loads.tell(ex, ex.hello?.name ?? ex.peer, t));
  }
}
