import { EngineStatus, engineStatus } from '../shared/contracts/engine';
import { errorOrValue } from '../shared/errors/errors';
import { Follower } from '../shared/replication/follower';
import { Ports } from '../shared/ports/ports';
import { TimeLimits } from '../shared/settings/time-limits';
import { Engine } from '../shared/state/engines';
import { CONTROL_KEYS } from '../shared/state/control-keys';

/** What this router knows of one engine's health and load. */
export interface Seen {
  engine: Engine;
  status?: EngineStatus;
  at: number;
  shownAt: number;
  sent: number;
  sentTokens: number;
  mine: number;
  faults: number;
  openUntil: number;
  probing: boolean;
  turns: number;
  turnedUntil: number;
  msPerToken: number;
}

/** The engines as the news lists them, with their health. */
export interface Engines {
  ofModel: (model: string) => Seen[];
  get: (id: string) => Seen | undefined;
  fit: (s: Seen) => boolean;
  leaves: (s: Seen) => boolean;
  began: (s: Seen, tokens: number) => void;
  ended: (s: Seen, good: boolean) => void;
  learnedPrefill: (s: Seen, read: number, ms: number) => void;
  turnedAway: (s: Seen) => void;
  linkCost: (from: string, to: string) => number;
  learnedLink: (from: string, to: string, tokens: number, ms: number) => void;
  renew: () => void;
  stop: () => void;
}

const FAULTS_TO_OPEN = 3;
const SMOOTH = 0.2;
const FIRST_MS_PER_TOKEN = 0.3;
const FIRST_LINK_MS_PER_TOKEN = 0.05;

/** Follows the engines: one task for each asks how it stands. */
export function watchEngines(ports: Ports, bounds: TimeLimits, follower: Follower): Engines {
  const seen = new Map<string, Seen>();
  const links = new Map<string, number>();
  let stopped = false;

  function renew(): void {
    const list = follower.value<Engine[]>(CONTROL_KEYS.engines)?.value ?? [];
    const want = new Map<string, Engine>();
    for (const e of list) want.set(e.id, e);
    for (const [id, s] of seen) if (want.get(id)?.at !== s.engine.at) seen.delete(id);
    for (const [id, e] of want) {
      const s = seen.get(id);
      if (s) {
        s.engine = e;
        continue;
      }
      const fresh: Seen = {
        engine: e,
        at: 0,
        shownAt: 0,
        sent: 0,
        sentTokens: 0,
        mine: 0,
        faults: 0,
        openUntil: 0,
        probing: false,
        turns: 0,
        turnedUntil: 0,
        msPerToken: FIRST_MS_PER_TOKEN,
      };
      seen.set(id, fresh);
      void tend(fresh);
    }
  }

  async function tend(s: Seen): Promise<void> {
    while (!stopped && seen.get(s.engine.id) === s) {
      await ask(s);
      await ports.clock.sleep(bounds.statusTimeoutMs * 3 * (0.7 + 0.6 * ports.random.next()));
    }
  }

  async function ask(s: Seen): Promise<void> {
    const asked = ports.clock.now();
    const [f, st] = errorOrValue(
      await engineStatus(ports.network, s.engine.at, bounds.statusTimeoutMs),
    );
    if (f) {
      noteFault(s);
      return;
    }
    s.status = st;
    s.at = ports.clock.now();
    s.shownAt = asked;
    s.sent = 0;
    s.sentTokens = 0;
    if (s.probing || s.openUntil > 0) {
      s.faults = 0;
      s.openUntil = 0;
      s.probing = false;
    }
  }

  function noteFault(s: Seen): void {
    s.faults++;
    if (s.faults >= FAULTS_TO_OPEN)
      s.openUntil =
        ports.clock.now() + bounds.circuitOpenMs * Math.min(8, s.faults - FAULTS_TO_OPEN + 1);
  }

  function ofModel(model: string): Seen[] {
    const out: Seen[] = [];
    for (const s of seen.values()) if (s.engine.model === model) out.push(s);
    return out;
  }

  function leaves(s: Seen): boolean {
    return s.engine.leaving || follower.isDraining(s.engine.id);
  }

  function fit(s: Seen): boolean {
    const now = ports.clock.now();
    if (leaves(s) || !s.status || s.status.leaving || now - s.at > bounds.circuitOpenMs * 4)
      return false;
    if (now < s.turnedUntil) return false;
    if (s.openUntil === 0) return true;
    return now >= s.openUntil && !s.probing;
  }

  function began(s: Seen, tokens: number): void {
    s.sent++;
    s.mine++;
    s.sentTokens += tokens;
    if (s.openUntil > 0) s.probing = true;
  }

  function ended(s: Seen, good: boolean): void {
    s.mine--;
    s.probing = false;
    if (!good) return noteFault(s);
    s.faults = 0;
    s.openUntil = 0;
  }

  function learnedPrefill(s: Seen, read: number, ms: number): void {
    s.turns = 0;
    if (read > 0) s.msPerToken += SMOOTH * (ms / read - s.msPerToken);
  }

  function turnedAway(s: Seen): void {
    s.turns++;
    s.turnedUntil =
      ports.clock.now() +
      Math.min(bounds.circuitOpenMs, bounds.statusTimeoutMs * 2 ** Math.min(8, s.turns - 1)) *
        (0.7 + 0.6 * ports.random.next());
    void ask(s);
  }

  function linkCost(from: string, to: string): number {
    return links.get(`${from} ${to}`) ?? FIRST_LINK_MS_PER_TOKEN;
  }

  function learnedLink(from: string, to: string, tokens: number, ms: number): void {
    if (tokens > 0)
      links.set(
        `${from} ${to}`,
        linkCost(from, to) + 2 * SMOOTH * (ms / tokens - linkCost(from, to)),
      );
  }

  function get(id: string): Seen | undefined {
    return seen.get(id);
  }

  function stop(): void {
    stopped = true;
  }

  renew();
  return {
    ofModel,
    get,
    fit,
    leaves,
    began,
    ended,
    learnedPrefill,
    turnedAway,
    linkCost,
    learnedLink,
    renew,
    stop,
  };
}
