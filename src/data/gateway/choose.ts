import { Either, Left, Right } from 'purify-ts';
import { CallerRequest, HttpRoute, Pool, TenantAccess } from '../../shared/deployment';
import { Follower } from '../../shared/follow';
import { rendezvous } from '../../shared/lib';
import { Ports } from '../../shared/ports';
import { Settings } from '../../shared/settings';
import { Engine, KEYS } from '../../shared/words';
import { Expected, saltUnder, WeightsBook } from './weights';

/** What an engine is wanted for. Times are of the clock port. */
export interface Wanted {
  request: CallerRequest;
  route: HttpRoute;
  pool: string;
  tenant?: TenantAccess;
  since: number;
  until: number;
  /** Engines that this request is kept from, by id. */
  avoid: ReadonlySet<string>;
  /** Attempts before this one. */
  again: number;
}

/** The engine that a request goes to, and under what terms. */
export interface Chosen {
  engine: Engine;
  salt?: string;
  weights?: string;
  /** 0 goes first, 9 last. */
  urgency: number;
  fetchFrom?: string;
  storeAt?: string;
}

/** Why no engine takes a request, and when it may come again. */
export interface Refusal {
  status: number;
  why: string;
  retryAfterMs: number;
}

/** How an attempt ended; `late` was under way when its time was up. */
export type AttemptEnd = 'done' | 'not-run' | 'doubt' | 'late' | 'caller-gone';

/** An attempt as a load on its engine. */
export interface Load {
  /** Hears of the first event, in ms from the attempt's start. */
  firstEvent(ms: number): void;
  /** Hears of the weights that the engine runs with, by model. */
  told(weights: Record<string, string>): void;
  /** Hears that another instance stands at the engine's address, or other weights are there. */
  turnedAway(verdict: 'not-run' | 'other-instance' | 'other-weights'): void;
  ended(how: AttemptEnd): void;
}

/** Chooses engines for requests. */
export interface Chooser {
  choose(w: Wanted): Promise<Either<Refusal, Chosen>>;
  began(c: Chosen, w: Wanted): Load;
  stop(): void;
}

/** What a chooser needs. */
export interface ChooserParts {
  ports: Ports;
  settings: Settings;
  follower: Follower;
  weights: WeightsBook;
  pool(name: string): Pool | undefined;
}

/** The wall behind which engines keep a tenant's parts: its own where it is isolated, one for all others. */
export function wallOf(tenant: TenantAccess | undefined): string {
  return tenant?.isolated ? tenant.name : '';
}

interface Seen {
  inFlight: number;
  pausedUntil: number;
  pauses: number;
  gone: boolean;
}

/** The first pause of an engine that failed or turned a request away, as a share of `contactMs`; it doubles up to `contactMs`. */
const PAUSE = 0.02;
/** When a refused request may come again, as a share of its route's aim. */
const AGAIN = 0.5;

/** Makes a chooser that knows this router's own loads only. */
export function makeChooser(p: ChooserParts): Chooser {
  const { clock } = p.ports;
  const seen = new Map<string, Seen>();
  let listed: Engine[] | undefined;

  function of(e: Engine): Seen {
    const had = seen.get(e.id);
    if (had) return had;
    const s: Seen = { inFlight: 0, pausedUntil: 0, pauses: 0, gone: false };
    seen.set(e.id, s);
    return s;
  }

  function engines(): Engine[] {
    const list = p.follower.value<Engine[]>(KEYS.engines)?.value ?? [];
    if (list === listed) return list;
    listed = list;
    const ids = new Set<string>();
    for (const e of list) {
      ids.add(e.id);
      of(e).gone = false;
    }
    for (const id of seen.keys()) if (!ids.has(id)) seen.delete(id);
    return list;
  }

  function expected(e: Engine, model: string | undefined): Expected | undefined {
    return model === undefined ? { weights: '', kind: 'now' } : p.weights.expect(e.id, model);
  }

  function fits(e: Engine, w: Wanted): boolean {
    const s = of(e);
    if (e.pool !== w.pool || e.leaving || p.follower.leaving(e.id) || s.gone || w.avoid.has(e.id) || clock.now() < s.pausedUntil) return false;
    const x = expected(e, w.request.model);
    return x !== undefined && x.kind !== 'loading';
  }

  async function choose(w: Wanted): Promise<Either<Refusal, Chosen>> {
    const able: Engine[] = [];
    for (const e of engines()) if (fits(e, w)) able.push(e);
    const engine = choseFrom(able, w);
    if (!engine) return Left({ status: 503, why: 'no engine can take this now', retryAfterMs: w.route.aimMs * AGAIN });
    const weights = expected(engine, w.request.model)?.weights;
    const rank = w.tenant?.priority ?? 0;
    return Right({ engine, weights: weights === '' ? undefined : weights, salt: saltUnder(wallOf(w.tenant), weights ?? ''), urgency: Math.max(0, Math.min(9, rank * 3 + w.route.priority)) });
  }

  function choseFrom(able: Engine[], w: Wanted): Engine | undefined {
    const batch = p.pool(w.pool)?.batch ?? 1;
    function byLoad(a: Engine, b: Engine): number {
      const l = of(a).inFlight - of(b).inFlight;
      if (l !== 0) return l;
      return Number(b.zone === p.settings.zone) - Number(a.zone === p.settings.zone);
    }
    if (w.route.affinity && w.request.parts.length > 0) {
      function id(e: Engine): string {
        return e.id;
      }
      const home = rendezvous(w.request.parts[0].hash, able.map(id))[0];
      for (const e of able) if (e.id === home && of(e).inFlight < batch) return e;
    }
    return able.sort(byLoad)[0];
  }

  function pause(s: Seen): void {
    s.pausedUntil = clock.now() + Math.min(p.settings.contactMs, p.settings.contactMs * PAUSE * 2 ** s.pauses) * (0.75 + 0.5 * p.ports.dice.next());
    s.pauses = Math.min(s.pauses + 1, 10);
  }

  function began(c: Chosen): Load {
    const s = of(c.engine);
    let over = false;
    s.inFlight++;
    function firstEvent(): void {
      s.pauses = 0;
    }
    function told(weights: Record<string, string>): void {
      p.weights.told(c.engine.id, weights);
    }
    function turnedAway(verdict: 'not-run' | 'other-instance' | 'other-weights'): void {
      if (verdict === 'other-instance') s.gone = true;
    }
    function ended(how: AttemptEnd): void {
      if (over) return;
      over = true;
      s.inFlight--;
      if (how === 'not-run' || how === 'doubt') pause(s);
    }
    return { firstEvent, told, turnedAway, ended };
  }

  function stop(): void {
    seen.clear();
  }

  return { choose, began, stop };
}
