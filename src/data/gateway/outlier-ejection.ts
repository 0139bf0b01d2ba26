/** How an attempt at an engine ended: with its answer, turned away unrun, without an answer that can be told to be the engine's, or given up by the caller. */
export type AttemptResult = 'answered' | 'turned-away' | 'failed' | 'given-up';

/** Which engines are left alone, as attempts there failed or were turned away, and for how long. */
export interface OutlierEjection {
  /** Of these, the ones that may be used; those on trial only one request at a time, and not by one that may not repeat where others are. */
  available: (names: readonly string[], repeatable: boolean) => string[];
  recordStart: (name: string) => void;
  /** Hears how an attempt ended that began at `at`. */
  recordEnd: (name: string, how: AttemptResult, at: number) => void;
  /** Ms until the first of these may be used. */
  msUntilAvailable: (names: readonly string[]) => number;
  retain: (names: ReadonlySet<string>) => void;
}

interface Standing {
  /** Rises with failures, falls with answers. */
  level: number;
  turns: number;
  until: number;
  /** Whether the last rest was for failures. */
  trial: boolean;
  trying: number;
  restedAt: number;
}

/** The share of a pool that may be left alone at once. */
const MOST_ALONE = 0.5;
/** What one answer takes back of one failure: engines that fail more than a fifth of their requests sink. */
const BACK = 0.25;
const MOST_DOUBLINGS = 5;

/** Makes the standings; `pause` is the first rest in ms, and `now` the steady clock. */
export function makeStandings(
  now: () => number,
  spread: () => number,
  pause: number,
): OutlierEjection {
  const all = new Map<string, Standing>();

  function of(name: string): Standing {
    let s = all.get(name);
    if (!s) {
      s = { level: 0, turns: 0, until: 0, trial: false, trying: 0, restedAt: -Infinity };
      all.set(name, s);
    }
    return s;
  }

  function able(names: readonly string[], repeatable: boolean): string[] {
    const t = now();
    const sure: string[] = [];
    const trials: string[] = [];
    const resting: string[] = [];
    for (const n of names) {
      const s = all.get(n);
      if (!s || (s.until <= t && !s.trial)) sure.push(n);
      else if (s.until > t) resting.push(n);
      else if (s.trying === 0) trials.push(n);
    }
    const out = repeatable || sure.length === 0 ? [...sure, ...trials] : sure;
    const least = Math.ceil(names.length * (1 - MOST_ALONE));
    if (out.length >= least || out.length === names.length) return out;
    for (const n of trials) if (!out.includes(n) && out.length < least) out.push(n);
    resting.sort(bySoonest);
    for (const n of resting) if (out.length < least) out.push(n);
    return out;
  }

  function bySoonest(a: string, b: string): number {
    return of(a).until - of(b).until;
  }

  function began(name: string): void {
    of(name).trying++;
  }

  function rest(s: Standing, doublings: number): void {
    s.restedAt = now();
    s.until =
      s.restedAt + pause * 2 ** Math.min(MOST_DOUBLINGS, doublings) * (0.8 + 0.4 * spread());
  }

  function ended(name: string, how: AttemptResult, at: number): void {
    const s = of(name);
    s.trying = Math.max(0, s.trying - 1);
    if (how === 'answered') {
      s.level = Math.max(0, s.level - BACK);
      s.turns = 0;
      if (at >= s.restedAt) s.trial = false;
      return;
    }
    if (how === 'given-up' || at < s.restedAt) return;
    if (how === 'turned-away') {
      rest(s, s.turns - 1);
      s.turns++;
      return;
    }
    rest(s, Math.floor(s.level));
    s.level = Math.min(MOST_DOUBLINGS, s.level + 1);
    s.trial = true;
  }

  function nextIn(names: readonly string[]): number {
    const t = now();
    let least = pause;
    for (const n of names) least = Math.min(least, Math.max(0, (all.get(n)?.until ?? t) - t));
    return least;
  }

  function keep(names: ReadonlySet<string>): void {
    for (const n of all.keys()) if (!names.has(n)) all.delete(n);
  }

  return {
    available: able,
    recordStart: began,
    recordEnd: ended,
    msUntilAvailable: nextIn,
    retain: keep,
  };
}
